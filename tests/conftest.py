"""Collects each section of a scenario file as a test; async tests run on both back ends of anyio."""

import pytest

from tests.scenario_player import ScenarioPlayer


def pytest_collect_file(parent, file_path):
    if file_path.parent.name == "scenarios" and file_path.suffix == ".txt":
        return ScenarioFile.from_parent(parent, path=file_path)


class ScenarioFile(pytest.File):
    def collect(self):
        for part in self.path.read_text().split("\n==="):
            title, _, text = part.lstrip("= ").partition("\n")
            yield Scenario.from_parent(self, name=title.strip(), text=text)


class Scenario(pytest.Item):
    def __init__(self, *, text, **rest):
        super().__init__(**rest)
        self.text = text

    def runtest(self):
        ScenarioPlayer(self.text).run()

    def repr_failure(self, excinfo):
        return str(excinfo.value) if excinfo.errisinstance(AssertionError) else super().repr_failure(excinfo)

    def reportinfo(self):
        return self.path, 0, self.name


@pytest.fixture(params=["asyncio", "trio"])
def anyio_backend(request):
    return request.param
