# `make demo` and `make test` set up what they need in .venv and then run.
PY = .venv/bin/python
READY = .venv/ready

.PHONY: demo test proto clean

demo: $(READY)
	$(PY) -m linedeal day examples/bad-day.day

# All tests but for those that KNOWN-RED.txt lists; TESTS: arguments of pytest in place of that.
TESTS ?= --known-red KNOWN-RED.txt
test: $(READY)
	$(PY) -m pytest $(TESTS)

$(READY): pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -e '.[test]'
	touch $(READY)

# the generated code is committed; made anew only after a change to proto/linedeal.proto
proto: $(READY)
	$(PY) -m pip -q install -e '.[proto]'
	$(PY) -m grpc_tools.protoc -Iproto --python_out=linedeal/protocol --pyi_out=linedeal/protocol proto/linedeal.proto

clean:
	rm -rf .venv found
