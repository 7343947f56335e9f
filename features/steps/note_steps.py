"""Steps for the program arbutusstall-note."""

import json
import signal

import behave
import mesh
import programs

from arbutusstall import settings as node_settings
from arbutusstall._log import reader
from arbutusstall._shell import log_client

_BASE = {
    "add": {
        "services": [{"name": "kvoty"}],
        "routes": [{"prefix": "/kvoty", "service": "kvoty"}],
    },
    "shares": [{"service": "kvoty", "percent_by_version": {"v1": 100}}],
}
_DANGLING = {"add": {"routes": [{"prefix": "/vazeni", "service": "vazeni"}]}}
_WITHDRAWAL = {"withdraw": {"services": ["kvoty"], "routes": ["/kvoty"]}}


def _write(context, body, name=None):
    path = context.path
    name = name or path.name.partition(".")[0]
    path.write_text(json.dumps({"name": name, **body}))


@behave.given("the platform log")
def start_log(context):
    """Start the log and no node."""
    context.mesh = mesh.Mesh(context.directory)
    context.mesh.start_log()


@behave.given("the release file {name} that adds kvoty")
def base_file(context, name):
    """Write a release that can be accepted."""
    context.path = context.directory / name
    _write(context, _BASE)


@behave.given("the release file {name} with a route to an unknown service")
def dangling_file(context, name):
    """Write a release that would be refused."""
    context.path = context.directory / name
    _write(context, _DANGLING)


@behave.step("the file changes to withdraw kvoty")
def change_file(context):
    """Change the release's content and keep its name."""
    _write(context, _WITHDRAWAL)


@behave.step("the file changes to withdraw kvoty under another name")
def change_name(context):
    """Change the release's content and its name."""
    _write(context, _WITHDRAWAL, name="other")


@behave.when("the log's faults are {faults}")
def set_faults(context, faults):
    """Set the faults of the platform log."""
    context.mesh.set_log_faults(**json.loads(faults))


def _arguments(context, text):
    paths = {
        "FILE": getattr(context, "path", "FILE"),
        "SETTINGS": getattr(context, "settings_path", "SETTINGS"),
    }
    return [str(paths.get(word, word)) for word in text.split()]


@behave.when('arbutusstall-note runs "{text}"')
def run(context, text):
    """Run the program with the log's address."""
    arguments = _arguments(context, text)
    url = f"http://{context.mesh.log}"
    context.done = programs.run("note", *arguments, "--log", url)


@behave.when('arbutusstall-note runs exactly "{text}"')
def run_exactly(context, text):
    """Run the program with no other arguments."""
    context.done = programs.run("note", *_arguments(context, text))


@behave.then('it exits with {code:d} and prints "{text}"')
def prints(context, code, text):
    """Check the exit code and the standard output."""
    assert context.done.returncode == code, context.done
    assert text in context.done.stdout, context.done


@behave.then('it exits with {code:d} and prints ""')
def exits(context, code):
    """Check the exit code; the output may be anything."""
    assert context.done.returncode == code, context.done


@behave.then('it prints "{text}"')
def prints_text(context, text):
    """Check the standard output of the last run."""
    assert text in context.done.stdout, context.done


@behave.then('it exits with {code:d} and reports the error "{text}"')
def reports_error(context, code, text):
    """Check the exit code and standard error, without a traceback."""
    assert context.done.returncode == code, context.done
    assert text in context.done.stderr, context.done
    assert "Traceback" not in context.done.stderr, context.done


@behave.then('it exits with {code:d} and reports the error ""')
def reports_any_error(context, code):
    """Check the exit code and that standard error is not empty."""
    reports_error(context, code, "")
    assert context.done.stderr.strip(), context.done


@behave.then("the log holds {count:d} record")
@behave.then("the log holds {count:d} records")
def log_holds(context, count):
    """Check the number of records appended to the log."""
    assert int(context.mesh.log_counts()["appends"]) == count


@behave.then("the log's release {name} is accepted once")
def accepted_once(context, name):
    """Check that it is the only release and its version is in force."""
    log = log_client.HttpLogClient(
        node_settings.LogSettings(url=f"http://{context.mesh.log}")
    )
    state = reader.read_agreed(log)
    outcome = state.releases_by_name[name]
    assert state.snapshot.version == outcome.offset + 1, state.snapshot
    assert len(state.releases_by_name) == 1, state.releases_by_name


def _roots(context):
    return [
        name
        for name in context.mesh.nodes_by_name
        if context.mesh.status(name)["root"]
    ]


@behave.when("a node that is no root is frozen")
def freeze(context):
    """Stop a node that has a parent."""
    roots = _roots(context)
    context.frozen = next(
        name for name in context.mesh.nodes_by_name if name not in roots
    )
    context.mesh.signal(context.frozen, signal.SIGSTOP)


@behave.then("it exits with {code:d} and its error names the frozen node")
def names_frozen(context, code):
    """Check that the error names the node without the release."""
    reports_error(context, code, context.frozen)


@behave.when("the frozen node resumes")
def resume(context):
    """Send SIGCONT to the frozen node."""
    context.mesh.signal(context.frozen, signal.SIGCONT)


@behave.when("all roots are killed")
def kill_roots(context):
    """Kill all nodes, so that no root answers queries."""
    assert context.mesh.wait_until(lambda: len(_roots(context)) > 0, 20.0)
    for name in list(context.mesh.nodes_by_name):
        context.mesh.kill(name)


@behave.step("a settings file with the log's url")
def log_settings(context, **more):
    """Write a settings file with the log's URL."""
    context.settings_path = context.directory / "note.settings.json"
    settings = {"url": f"http://{context.mesh.log}", **more}
    context.settings_path.write_text(json.dumps(settings))


@behave.step("a settings file with the log's url and an unknown key")
def bad_log_settings(context):
    """Write a settings file with an invalid key."""
    log_settings(context, urll="x")


@behave.when("a process watches the log and a release is published")
def watch_process(context):
    """Start ``watch`` in a process and publish the release."""
    url = f"http://{context.mesh.log}"
    arguments = ("watch", "--from-start", "--log", url)
    context.mesh.spawn("watch", "-m", "arbutusstall._cli.note", *arguments)
    run(context, "publish FILE")


@behave.when("a process watches the log, started with {name} ignored")
def watch_process_ignoring(context, name):
    """Start ``watch`` with the signal ignored.

    A shell starts background jobs this way.
    """
    number = signal.Signals[name]
    before = signal.signal(number, signal.SIG_IGN)
    try:
        watch_process(context)
    finally:
        signal.signal(number, before)


@behave.then('the process prints "{text}" and ends with 0 on {name}')
def watch_ends_on(context, text, name):
    """Send the signal once the event is printed."""
    output = context.directory / "watch.log"
    assert context.mesh.wait_until(lambda: text in output.read_text(), 20.0)
    context.mesh.signal("watch", signal.Signals[name])
    process = context.mesh.processes_by_name["watch"]
    assert process.wait(timeout=20.0) == 0, output.read_text()


@behave.then('the process prints "{text}" and ends with 0 when interrupted')
def watch_ends(context, text):
    """Send SIGINT once the event is printed."""
    output = context.directory / "watch.log"
    assert context.mesh.wait_until(lambda: text in output.read_text(), 20.0)
    context.mesh.signal("watch", signal.SIGINT)
    process = context.mesh.processes_by_name["watch"]
    assert process.wait(timeout=20.0) == 0, output.read_text()
