"""Write samples/*.ini from the settings that each program declares."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SAMPLES = ROOT / "samples"
PROGRAMS = ("entry", "ingress", "agent", "standin")


def render_sample(program):
    """Return the sample settings file that a program prints with ``--sample``."""
    command = [sys.executable, "-m", f"foxtailcourse.{program}.run", "--sample"]
    result = subprocess.run(command, check=True, capture_output=True, text=True)
    return result.stdout.rstrip() + "\n"


def sample_path(program):
    """Return the path of a program's sample settings file."""
    return SAMPLES / f"foxtail-{program}.ini"


def main():
    """Write the samples of all programs."""
    SAMPLES.mkdir(exist_ok=True)
    for program in PROGRAMS:
        sample_path(program).write_text(render_sample(program), encoding="utf-8")


if __name__ == "__main__":
    main()
