"""Commands that show the status of processes and drain them."""

from typing import Any

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.admin_clients import AdminClient
from cassiadrum.commands.arguments import argument_parsers
from cassiadrum.commands.document_files import parse_record
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.fleets import find_instance, get_from_all, list_instances
from cassiadrum.commands.platforms import Platform
from cassiadrum.commands.results import Result
from cassiadrum.documents import class_consequences
from cassiadrum.states import CONFIG_TABLE, ConfigurationRecord, InvalidRecord
from cassiadrum.stores import Instance, RowPage, StoreUnavailable

__all__ = ["drain", "status"]


def status() -> Action:
    """Show instances, endpoints, classes, versions in force and instances that lag behind.

    The exit code is 4 if an instance does not answer or lags behind.

    Example: cassiadrum status
    """
    return Action(_collect_status)


@argument_parsers()
def drain(instance: str) -> Action:
    """Let an instance finish its requests and accept no new ones; it does not exit by itself.

    Example: cassiadrum drain sprachdienst-2
    """

    async def run(session: Session) -> Result:
        item = await find_instance(session.platform(), instance)
        answer = await AdminClient(item.admin_address).send_change("POST", "/admin/drain", {})
        if answer.status != 202:
            raise CommandError(ExitCode.REFUSED, f"{instance}: {answer.body}")
        return Result({"instance": instance, "draining": True}, [f"{instance} is draining"])

    return Action(run)


async def _collect_status(session: Session) -> Result:
    platform = session.platform()
    instances = await list_instances(platform)
    answers = await get_from_all(instances, "/admin/status")
    records, store_error = await _read_records(platform)
    newest = {record.service: record.version for record in records}
    if store_error:
        newest = _newest_versions(answers)
    rows = [_instance_row(item, answers[item.instance], newest) for item in instances]
    services = [
        _service_row(record, instances, answers) for record in records if not record.deleted
    ]
    data = {"instances": rows, "services": services, "versions": newest, "store": store_error}
    healthy = not store_error and not any(row["lags"] for row in rows)
    code = ExitCode.OK if healthy else ExitCode.UNREACHABLE
    return Result(data, [*_instance_lines(rows), *_service_lines(services), *store_error], code)


async def _read_records(platform: Platform) -> tuple[list[ConfigurationRecord], list[str]]:
    """Return the newest record of each service, or none and the error of the table service."""
    records: list[ConfigurationRecord] = []
    page = RowPage((), "")
    try:
        while True:
            page = await platform.table().list(
                CONFIG_TABLE, after=page.next_after, fields=ConfigurationRecord._fields
            )
            records += [ConfigurationRecord.from_row(row.key, row) for row in page.rows]
            if not page.next_after:
                return records, []
    except (StoreUnavailable, InvalidRecord) as exc:
        return [], [f"table service: {exc}; showing the newest versions known to the instances"]


def _newest_versions(answers: dict[str, dict[str, Any] | None]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for answer in answers.values():
        for service, version in (answer or {}).get("versions", {}).items():
            newest[service] = max(version, newest.get(service, 0))
    return newest


def _instance_row(
    item: Instance, answer: dict[str, Any] | None, newest: dict[str, int]
) -> dict[str, Any]:
    row: dict[str, Any] = {key: getattr(item, key) for key in ("instance", "role", "service")}
    row |= {"zone": item.zone, "state": item.state, "answers": answer is not None}
    if answer is None:
        return row | {"draining": None, "in_flight": None, "links": None, "lags": ["no answer"]}
    versions = answer["versions"]
    lags = [
        f"{service} {versions.get(service, 0)} of {version}"
        for service, version in sorted(newest.items())
        if versions.get(service, 0) < version
    ]
    links = len(answer["links"])
    counts = {"in_flight": answer["in_flight"], "links": links, "lags": lags}
    return row | {"draining": answer["draining"], **counts}


def _service_row(
    record: ConfigurationRecord,
    instances: list[Instance],
    answers: dict[str, dict[str, Any] | None],
) -> dict[str, Any]:
    document = parse_record(record)
    answered = [answer for answer in answers.values() if answer]
    queued = sum(_load_figure(answer, record.service, "queued") for answer in answered)
    running = sum(_load_figure(answer, record.service, "running") for answer in answered)
    return {
        "service": record.service,
        "version": record.version,
        "endpoints": [item.instance for item in instances if item.service == record.service],
        "endpoints_stated": document.endpoints if document else 0,
        "queued": queued,
        "running": running,
        "classes": [part.name for part in class_consequences(document)] if document else [],
    }


def _load_figure(answer: dict[str, Any], service: str, key: str) -> int:
    return int(answer.get("services", {}).get(service, {}).get(key, 0))


def _instance_lines(rows: list[dict[str, Any]]) -> list[str]:
    head = (
        f"{'instance':<20}{'role':<9}{'zone':<14}{'state':<10}{'in flight':>9}{'links':>7}  lags"
    )
    return [head, *(_instance_line(row) for row in rows)]


def _instance_line(row: dict[str, Any]) -> str:
    state = "draining" if row["draining"] else row["state"]
    counts = "".join(
        f"{'-' if row[key] is None else row[key]:>{width}}"
        for key, width in (("in_flight", 9), ("links", 7))
    )
    lags = ", ".join(row["lags"]) or "-"
    return f"{row['instance']:<20}{row['role']:<9}{row['zone']:<14}{state:<10}{counts}  {lags}"


def _service_lines(services: list[dict[str, Any]]) -> list[str]:
    return [
        f"{row['service']} version {row['version']}: {len(row['endpoints'])} of "
        f"{row['endpoints_stated']} endpoints, {row['queued']} queued, {row['running']} running; "
        f"classes in order: {', '.join(row['classes'])}"
        for row in services
    ]
