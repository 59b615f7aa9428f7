"""The operator of a small deployment: the project's control service and its commands, by its page."""

import asyncio
import json
import subprocess
from pathlib import Path

import fleet

PYTHON = str(fleet.ROOT / ".venv/bin/python")


async def control(record: fleet.Record, *words: str) -> str:
    """One call of an operator; raises RuntimeError if it fails."""
    process = await asyncio.create_subprocess_exec(
        PYTHON, "-m", "myrtleroad", "control", *words, cwd=fleet.ROOT, stdout=-1, stderr=subprocess.STDOUT
    )
    text = (await process.communicate())[0].decode()
    record.write("operator", call=" ".join(words[:1]), said=" | ".join(text.split("\n")))
    if process.returncode:
        raise RuntimeError(f"control {words[0]}: {text}")
    return text


class ControlService:
    """The control service of a folder, as a process of its own."""

    def __init__(self, folder: Path, record: fleet.Record):
        self.folder, self.record, self.port = folder, record, fleet.free_port()
        self.versions, self.front_file = folder / "versions", folder / "front.kdl"
        self.front_file.write_text(f'control "127.0.0.1:{self.port}"\n')
        self.options = f"--with {self.front_file}"  # of the fronts' command
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        options = ["--listen", f"127.0.0.1:{self.port}", "--rings", "1", "--watch", "1"]
        with (self.folder / "control.log").open("ab") as log:
            self.process = subprocess.Popen(
                [PYTHON, "-m", "myrtleroad", "control", "serve", str(self.versions), *options],
                cwd=fleet.ROOT,
                stdout=log,
                stderr=log,
            )
        for _ in range(100):
            if (self.versions / "control.sock").exists():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the control service did not start")

    async def publish(self, text: str) -> None:
        file = self.folder / "version.kdl"
        file.write_text(text)
        await control(self.record, "publish", str(self.versions), str(file))

    async def confirm(self) -> str:
        return await control(self.record, "confirm", str(self.versions))

    async def status(self) -> dict:
        return json.loads(await control(self.record, "status", str(self.versions), "--json"))

    async def held(self, number: int, fronts: int, seconds: float) -> dict:
        """Waits until every front holds this version; returns the status. Raises TimeoutError."""
        until = self.record.now() + seconds
        while True:
            status = await self.status()
            here = [front for front in status["fronts"] if front["here"]]
            if len(here) == fronts and all(front["holds"][1] == number for front in here):
                return status
            if self.record.now() > until:
                raise TimeoutError(f"the fronts do not hold version {number}")
            await asyncio.sleep(0.3)

    def stop(self) -> None:
        if self.process is not None:
            self.process.terminate()
            self.process.wait(5)
