"""Commands and command groups of the operators' command line."""

from cassiadrum.commands.actions import Action, Session, run_action
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.explain_commands import explain, explain_request
from cassiadrum.commands.log_commands import log
from cassiadrum.commands.outputs import Output
from cassiadrum.commands.platforms import PLATFORM_VARIABLE, Platform
from cassiadrum.commands.request_commands import request
from cassiadrum.commands.results import Result
from cassiadrum.commands.service_commands import ServiceCommands
from cassiadrum.commands.settings_commands import SettingsCommands
from cassiadrum.commands.status_commands import drain, status
from cassiadrum.commands.timeline_commands import timeline

__all__ = [
    "PLATFORM_VARIABLE",
    "Action",
    "CommandError",
    "ExitCode",
    "Output",
    "Platform",
    "Result",
    "ServiceCommands",
    "Session",
    "SettingsCommands",
    "drain",
    "explain",
    "explain_request",
    "log",
    "request",
    "run_action",
    "status",
    "timeline",
]
