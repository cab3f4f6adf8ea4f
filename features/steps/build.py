"""Steps of the build for the platform."""

import pathlib
import shutil
import subprocess
import time

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).parent.parent.parent
BUILT = pathlib.Path("target/deps/cardamomkeel")
# Files written at least this long apart have different modification times.
MTIME_RESOLUTION_S = 0.02


def build(context):
    subprocess.run(["sh", "deploy/build"], cwd=context.checkout, check=True)


def list_inodes(context):
    built = context.checkout / BUILT
    return {path: path.stat().st_ino for path in built.rglob("*")}


@given("a checkout that is built")
def make_checkout(context):
    context.checkout = pathlib.Path(context.folder) / "checkout"
    source = context.checkout / "src/cardamomkeel"
    source.mkdir(parents=True)
    shutil.copy(ROOT / "src/cardamomkeel/clock.py", source)
    shutil.copytree(ROOT / "deploy", context.checkout / "deploy")
    (context.checkout / "pyproject.toml").touch()
    time.sleep(MTIME_RESOLUTION_S)
    # Marks the libraries as installed.
    (context.checkout / "target/deps").mkdir(parents=True)
    (context.checkout / "target/deps/installed").touch()
    build(context)
    context.inodes = list_inodes(context)
    assert context.inodes


@when("it is built again")
def build_again(context):
    build(context)


@then("the built files are unchanged")
def check_same(context):
    assert list_inodes(context) == context.inodes


@when("a source is changed and it is built again")
def change_and_build(context):
    time.sleep(MTIME_RESOLUTION_S)
    source = context.checkout / "src/cardamomkeel/clock.py"
    source.write_text("CHANGED = True\n", encoding="utf-8")
    build(context)


@then("the built files match the sources")
def check_changed(context):
    built = context.checkout / BUILT / "clock.py"
    assert built.read_text(encoding="utf-8") == "CHANGED = True\n"
