"""Steps for trials with bad versions."""

import datetime
import time

import behave
import mesh
import trial

SERVICES = ("a", "b", "c")


@behave.given("a trial mesh with services a, b and c, each in two versions")
def start_services(context):
    """Start two endpoints of each version and publish the services."""
    context.trial = trial.Trial(context.directory)
    context.trial.start(
        mesh.NodeSpec(
            name=f"{service}-{version}-{centre}",
            data_centre=centre,
            service=service,
            version=version,
        )
        for service in SERVICES
        for version in ("v1", "v2")
        for centre in ("lipno", "svet")
    )
    context.trial.publish_first(*SERVICES)


@behave.given("version {version} of {service} fails every call")
def fails(context, version, service):
    """Make the version's targets fail every call."""
    context.trial.make_bad(service, version, fail=1.0)


@behave.given("version {version} of {service} answers {delay:d} ms later")
def is_slow(context, version, service, delay):
    """Delay the answers of the version's targets."""
    context.trial.make_bad(service, version, delay_s=delay / 1000)


@behave.given("version {version} of {service} fails on one route only")
def fails_on_route(context, version, service):
    """Publish a second route of the service and make it fail."""
    context.trial.publish_ok(
        {
            "name": "more",
            "add": {
                "routes": [{"prefix": f"/{service}/x", "service": service}]
            },
        },
        "--wait",
    )
    context.trial.make_bad(
        service, version, fail=1.0, fail_prefix=f"/{service}/x"
    )


@behave.given(
    "callers send {rate:d} requests a second to them for {seconds:d} seconds"
)
def start_callers_of_all(context, rate, seconds):
    """Start callers of all services, c on two routes."""
    paths = [f"/{service}/{{n}}" for service in SERVICES] + ["/c/x/{n}"]
    kinds = [
        {"name": path.partition("{")[0], "path": path, "echo": True}
        for path in paths
    ]
    context.trial.start_load("callers", kinds, f"{rate}x{seconds}")


@behave.when(
    "releases move all of them to {version} within {seconds:d} seconds"
)
def move_all(context, version, seconds):
    """Publish a release that moves each service to the version."""
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=seconds
    )
    context.trial.publish_ok(
        {
            "name": "moves",
            "shares": [
                {
                    "service": service,
                    "percent_by_version": {version: 100},
                    "by": by.isoformat(),
                }
                for service in SERVICES
            ],
        }
    )


@behave.when(
    "version {version} of {service} starts to fail after {seconds:d} seconds,"
    " in a log outage"
)
def starts_to_fail(context, version, service, seconds):
    """Start a log outage, make the version fail, and end it 5 s later."""
    time.sleep(seconds)
    context.trial.set_log_faults(out=True)
    context.trial.make_bad(service, version, since="later", fail=1.0)
    time.sleep(5.0)
    context.trial.set_log_faults()


@behave.then(
    "the moves of {services} end as {verdict} within {limit:d} seconds"
)
def moves_end(context, services, verdict, limit):
    """Wait for the verdicts in the output of ``arbutusstall-note status``."""
    names = services.replace(" and ", ", ").split(", ")
    running = context.trial.mesh
    status = ("status", "--log", f"http://{running.log}")

    def all_ended():
        text = running.note(*status).stdout
        return all(f"move moves/{name}: {verdict}" in text for name in names)

    assert running.wait_until(all_ended, limit), running.note(*status)
