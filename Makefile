# Entry points for people and for CI.
.PHONY: deps build check bench capacity demo format lint clean

build: deps
	cmake --preset release
	cmake --build --preset release

deps:
	.ci/deps

check: build
	.ci/test release

# The figure modes of bench/. A program that fails fails the target.
BENCH = build/release
FIGURES = \
	env FIGURES=1 $(BENCH)/steer_bench && \
	$(BENCH)/shift_experiment && \
	$(BENCH)/limit_bench && \
	$(BENCH)/limit_bench --policy && \
	$(BENCH)/fair_bench --policy && \
	$(BENCH)/route_bench --figures && \
	$(BENCH)/once_bench --figures && \
	$(BENCH)/spread_bench --benchmark_filter=none && \
	$(BENCH)/wire_bench --benchmark_filter=none && \
	$(BENCH)/config_bench --benchmark_filter=none

# Prints the figures that have a target; the others stand in the file.
bench: build
	($(FIGURES)) > $(BENCH)/figures.txt
	awk -F '\t' 'NF == 5 && $$4 != "-"' $(BENCH)/figures.txt

capacity: build
	$(BENCH)/capacity

demo: build
	examples/demo/run build/release

format:
	.ci/format --fix

lint: build
	.ci/lint

clean:
	rm -rf build
