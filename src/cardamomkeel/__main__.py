"""Runs the operators' command line."""

from cardamomkeel.operators import cmdline

if __name__ == "__main__":
    cmdline.main()
