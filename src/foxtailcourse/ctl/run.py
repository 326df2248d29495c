"""Entry point of foxtailctl."""

from foxtailcourse.ctl._app import app


def main() -> None:
    """Run the command line."""
    app(prog_name="foxtailctl")
