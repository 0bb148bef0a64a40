# make: build everything
# make check: install packages, build and run all tests
# make demo: install packages, build and run the demonstration
# make faults: install packages, build and run the fault scenarios
# make soak: install packages, build and run the randomized fault soak
# make bench: install packages, build and run the benchmark
# make lint: check with the formatter and the linter
CC = gcc
BUILD ?= build
SANITIZE ?=
PKGS = apr-1 apr-util-1 libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson \
	libxxhash libsodium libzstd
CFLAGS_BASE = -std=gnu11 -g -O2 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wformat=2 -Werror -D_GNU_SOURCE
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# http-parser has no pkg-config file.
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm
DIRS = -iquote src -iquote src/node -iquote src/node/decisions -iquote platform \
	-iquote proto
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)
ALL_CFLAGS = $(CFLAGS_BASE) $(PKG_CFLAGS) $(SANITIZE) $(CFLAGS) $(DIRS) -MMD -MP

MAINS = $(wildcard src/*_main.c)
BINS = $(patsubst $(BUILD)/chestnuthoist-ctl,$(BUILD)/chestnuthoistctl,\
	$(MAINS:src/%_main.c=$(BUILD)/chestnuthoist-%))
LIB_SRC = $(filter-out $(MAINS),$(wildcard src/*.c src/node/*.c \
	src/node/decisions/*.c platform/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o) $(BUILD)/proto/chestnuthoist.pb-c.o
LIB = $(BUILD)/libchestnuthoist.a
TEST_SRC = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
FAKE_SRC = $(wildcard tests/fakes/fake_*.c)
FAKES = $(FAKE_SRC:tests/fakes/%.c=$(BUILD)/fakes/%)
TOOL_SRC = $(wildcard bench/*.c)
TOOLS = $(TOOL_SRC:bench/%.c=$(BUILD)/bench/%)
FUZZ_SRC = $(wildcard tests/fuzz/fuzz_*.c)
FUZZERS = $(FUZZ_SRC:tests/fuzz/%.c=$(BUILD)/fuzz/%)
FUZZ_FLAGS = -fsanitize=fuzzer,address,undefined,float-cast-overflow \
	-fno-sanitize-recover=undefined,float-cast-overflow
# Inputs per fuzz target, with a fixed seed.
FUZZ_RUNS ?= 200000
FUZZ_SEED ?= 1
STYLE_SRC = $(wildcard src/*.c src/*.h src/node/*.c src/node/*.h \
	src/node/decisions/*.c src/node/decisions/*.h \
	platform/*.c platform/*.h tests/*.c tests/*.h tests/fakes/*.c \
	tests/fakes/*.h tests/soak/*.c tests/soak/*.h tests/fuzz/*.c tests/fuzz/*.h bench/*.c bench/*.h)
LINT_SRC = $(wildcard src/*.c src/node/*.c src/node/decisions/*.c platform/*.c tests/*.c tests/fakes/*.c tests/soak/*.c tests/fuzz/*.c \
	bench/*.c)

.PHONY: all setup proto check test sanitize demo faults soak bench model fuzz lint format tidy clean

all: $(BINS) $(FAKES) $(TOOLS)

setup:
	@.ci/setup

$(BUILD)/chestnuthoist-%: $(BUILD)/src/%_main.o $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(PKG_LIBS)

$(BUILD)/chestnuthoistctl: $(BUILD)/src/ctl_main.o $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(PKG_LIBS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/src/%.o: src/%.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/tests/%: tests/%.c $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter-out tests/../%,$(filter tests/%.c,$^)) $(LIB) $(PKG_LIBS) \
	    $(CHECK_LIBS)

$(BUILD)/tests/test_node $(BUILD)/tests/test_node_restored \
	$(BUILD)/tests/test_node_leaving $(BUILD)/tests/test_node_answers \
	$(BUILD)/tests/test_node_stopping $(BUILD)/tests/test_node_silence \
	$(BUILD)/tests/test_clients $(BUILD)/tests/test_unanswered \
	$(BUILD)/tests/test_broken_answers $(BUILD)/tests/test_broken_requests: \
	tests/fakes/platform_model.c

SOAK_SRC = tests/soak/soak.c tests/soak/proxy.c tests/soak/kept.c \
	tests/soak/crowd.c tests/soak/log_reader.c tests/fakes/platform_model.c

$(BUILD)/tests/soak/soak: $(SOAK_SRC) $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(SOAK_SRC) $(LIB) $(PKG_LIBS) $(CHECK_LIBS)

STOPS_SRC = tests/soak/stops.c tests/fakes/platform_model.c

$(BUILD)/tests/soak/stops: $(STOPS_SRC) $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(STOPS_SRC) $(LIB) $(PKG_LIBS) $(CHECK_LIBS)

$(BUILD)/fakes/%: tests/fakes/%.c $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $< $(LIB) $(PKG_LIBS)

$(BUILD)/bench/%: bench/%.c $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $< $(LIB) $(PKG_LIBS) -lm

$(BUILD)/fuzz/%: tests/fuzz/%.c $(LIB_SRC) proto/chestnuthoist.pb-c.c
	@mkdir -p $(@D)
	@echo "  FUZZ $@"
	@clang -std=gnu11 -g -O1 -D_GNU_SOURCE $(FUZZ_FLAGS) $(PKG_CFLAGS) \
	    $(DIRS) -o $@ $^ $(PKG_LIBS)

# The generated code is committed; run this after changing the schema.
proto:
	cd proto && protoc-c --c_out=. chestnuthoist.proto

check: setup
	@$(MAKE) --no-print-directory test

test: all $(TESTS)
	@BUILD=$(BUILD) tests/run

# Runs the tests with the address and undefined-behaviour sanitizers. Leak
# detection is off because the test programs do not free all memory before exit.
sanitize: setup
	@ASAN_OPTIONS=detect_leaks=0 $(MAKE) --no-print-directory -j8 \
	    BUILD=$(BUILD)/sanitize SANITIZE="-fsanitize=address,undefined \
	    -fno-sanitize-recover=undefined -fno-omit-frame-pointer" test

demo: setup
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) bench/demo

# Runs the fault scenarios on real processes; SCENARIOS selects some of them.
faults: setup
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) bench/faults $(SCENARIOS)

# Runs the randomized fault soak: seeds that failed before, then SOAK_SEEDS.
soak: setup
	@$(MAKE) --no-print-directory $(BUILD)/tests/soak/soak \
	    $(BUILD)/tests/soak/stops $(BUILD)/chestnuthoist-node
	@BUILD=$(BUILD) tests/soak/run $(SOAK_SEEDS)

# Measures throughput, shares and cost against the computed bound; takes less
# than 3 minutes.
bench: setup
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) bench/bench

model: setup
	@spec/run

fuzz: $(FUZZERS)
	@set -e; for f in $(FUZZERS); do n=$$(basename $$f); \
	    rm -rf $$f.corpus; mkdir $$f.corpus; \
	    $$f -runs=$(FUZZ_RUNS) -seed=$(FUZZ_SEED) -max_len=4096 \
	    -timeout=10 -artifact_prefix=$$f- $$f.corpus \
	    tests/fuzz/seeds/$$n >$$f.log 2>&1 || \
	    { tail -40 $$f.log; exit 1; }; \
	    echo "ok $$n $(FUZZ_RUNS) runs, seed $(FUZZ_SEED)"; done

format:
	clang-format -i $(STYLE_SRC)

lint:
	clang-format --dry-run -Werror $(STYLE_SRC)
	@$(MAKE) --no-print-directory -j8 -k tidy

# One stamp file per source file, so that only changed files are checked again.
TIDY = $(LINT_SRC:%.c=$(BUILD)/tidy/%.ok)

tidy: $(TIDY)

$(BUILD)/tidy/%.ok: %.c .clang-tidy $(wildcard src/*.h src/node/*.h \
	src/node/decisions/*.h platform/*.h)
	@mkdir -p $(@D)
	@echo "  TIDY $<"
	@clang-tidy --quiet $< -- -std=gnu11 -D_GNU_SOURCE $(DIRS) \
	    $(PKG_CFLAGS) 2>$@.log || { cat $@.log; exit 1; }
	@touch $@

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
