#include "comfreyvane/log/bounded_output.h"

#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

#include "comfreyvane/log/line_budget.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

struct Pipe {
  Pipe() { cr_assert_eq(pipe(ends.data()), 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::array<int, 2> ends{};
};

}  // namespace

Test(bounded_output, writes_whole_lines_when_drained) {
  Pipe pipe;
  BoundedOutput output(pipe.ends[1], 1024);
  std::ostream out(&output);
  out << "first\nsec"
      << "ond\n"
      << std::flush;
  output.Drain();
  std::array<char, 64> bytes{};
  const auto size = read(pipe.ends[0], bytes.data(), bytes.size());
  cr_expect(std::string(bytes.data(), static_cast<std::size_t>(size)) ==
            "first\nsecond\n");
}

Test(bounded_output, a_full_reader_costs_lines_and_never_waits) {
  Pipe pipe;
  BoundedOutput output(pipe.ends[1], 64 * 1024);
  std::ostream out(&output);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    out << line << '\n';
    output.Drain();
  }
  cr_expect(output.held() <= 64 * 1024);
  cr_expect(output.TakeDropped() > 0);
  cr_expect_eq(output.TakeDropped(), 0U);
}

Test(line_budget, bounds_lines_and_counts_the_rest) {
  LineBudget budget(10);
  const TimePoint start(std::chrono::hours(1));
  int written = 0;
  for (int i = 0; i < 1000; ++i)
    written += budget.TryTake(start + std::chrono::milliseconds(i)) ? 1 : 0;
  cr_expect(written >= 18 && written <= 20, "%d", written);
  cr_expect_eq(budget.TakeSuppressed(),
               static_cast<std::uint64_t>(1000 - written));
}
