"""Runs the command line of operators."""

from cardamomkeel.operators import cmdline

if __name__ == "__main__":
    cmdline.main()
