"""Program of a gateway process on the platform."""

import signal

# SIGHUP would end a process that has no handler for it yet, and the imports below take most of the
# time of a start. The settings are read later, so no change of them is lost.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cassiadrum.platform.entry_points import main  # noqa: E402

if __name__ == "__main__":
    main()
