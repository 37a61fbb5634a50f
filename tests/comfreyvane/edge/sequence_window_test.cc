#include "comfreyvane/edge/sequence_window.h"

#include "support/criterion.h"

using namespace comfreyvane;

Test(sequence_window, accepts_each_number_once_in_any_order) {
  SequenceWindow window;
  for (const std::uint64_t sequence : {1U, 3U, 2U, 4000U, 5U})
    cr_expect(window.Accept(sequence), "%d", static_cast<int>(sequence));
  for (const std::uint64_t sequence : {1U, 2U, 3U, 5U, 4000U})
    cr_expect(!window.Accept(sequence), "%d", static_cast<int>(sequence));
  cr_expect(!window.Accept(0));
}

Test(sequence_window, takes_numbers_far_behind_for_repetitions) {
  SequenceWindow window;
  cr_expect(window.Accept(1'000'000));
  cr_expect(!window.Accept(1'000'000 - 4096));
  cr_expect(window.Accept(1'000'000 - 4095));
  cr_expect(window.Accept(1'000'001));
  cr_expect(!window.Accept(1'000'000));
}
