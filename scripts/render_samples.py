"""Write samples/*.ini from the settings that each program declares."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SAMPLES = ROOT / "samples"
PROGRAMS = ("entry", "ingress", "agent", "standin")


def render_sample(program):
    """Return the sample that a program prints."""
    command = [sys.executable, "-m", f"foxtailcourse.{program}.run", "--sample"]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return done.stdout.rstrip() + "\n"


def sample_path(program):
    """Return the path of a program's sample."""
    return SAMPLES / f"foxtail-{program}.ini"


def main():
    """Write all samples."""
    SAMPLES.mkdir(exist_ok=True)
    for program in PROGRAMS:
        sample_path(program).write_text(render_sample(program), encoding="utf-8")


if __name__ == "__main__":
    main()
