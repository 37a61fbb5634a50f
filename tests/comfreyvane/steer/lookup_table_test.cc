#include "comfreyvane/steer/lookup_table.h"

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <string>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/steer/lookup_table_builder.h"
#include "support/criterion.h"

using namespace comfreyvane;
namespace leaf = boost::leaf;

namespace {

SiteState Site(std::uint64_t id) {
  return {.site = SiteId(id)};
}

BlockAssignment Assign(const char* block, std::uint64_t site) {
  return {*ClientBlock::Parse(block), SiteId(site)};
}

std::shared_ptr<const LookupTable> TableOf(
    const std::vector<BlockAssignment>& blocks,
    std::uint64_t sites) {
  LookupTableBuilder builder{Revision(1)};
  for (std::uint64_t site = 1; site <= sites; ++site)
    builder.AddSite(Site(site));
  for (const auto& block : blocks)
    builder.AddBlock(block);
  return *builder.Build();
}

std::uint64_t SiteOf(const LookupTable& table, const ClientAddress& address) {
  const auto match = table.Find(address);
  return match ? match->state.site.value() : 0;
}

std::optional<LookupError> BuildError(LookupTableBuilder& builder) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<LookupError>> {
        BOOST_LEAF_CHECK(builder.Build());
        return std::optional<LookupError>();
      },
      [](LookupError error) { return std::optional(error); },
      [] { return std::optional<LookupError>(); });
}

/// @return an address with few distinct bits, so that random blocks often nest
///     and adjoin.
ClientAddress RandomAddress(RandomSource& random) {
  const auto bits = [&random] { return random.Below(4) << 62U; };
  const std::uint64_t ends = random.Below(2) == 0 ? 0 : ~std::uint64_t{0};
  if (random.Below(2) == 0)
    return ClientAddress::V4(
        static_cast<std::uint32_t>((bits() ^ ends ^ random.Below(8)) >> 32U) ^
        static_cast<std::uint32_t>(random.Below(8)));
  return ClientAddress::V6(bits() ^ ends ^ random.Below(3),
                           bits() ^ ends ^ random.Below(4));
}

std::uint64_t LongestMatch(const std::map<ClientBlock, SiteId>& blocks,
                           const ClientAddress& address) {
  std::uint64_t site = 0;
  int longest = -1;
  for (const auto& [block, id] : blocks) {
    if (!block.Contains(address) || static_cast<int>(block.length()) <= longest)
      continue;
    longest = static_cast<int>(block.length());
    site = id.value();
  }
  return site;
}

void CheckRandomTable(std::uint64_t seed) {
  RandomSource random(seed);
  std::map<ClientBlock, SiteId> blocks;
  for (std::uint64_t i = random.Below(24); i > 0; --i) {
    const ClientAddress address = RandomAddress(random);
    const auto length =
        static_cast<unsigned>(random.Below(AddressBits(address.family()) + 1));
    blocks[ClientBlock(address, length)] = SiteId(1 + random.Below(4));
  }
  std::vector<BlockAssignment> assignments;
  for (const auto& [block, site] : blocks)
    assignments.push_back({block, site});
  const auto table = TableOf(assignments, 4);
  for (int i = 0; i < 40; ++i) {
    const ClientAddress address = RandomAddress(random);
    cr_assert(SiteOf(*table, address) == LongestMatch(blocks, address),
              "seed %llu, %s", static_cast<unsigned long long>(seed),
              address.ToString().c_str());
  }
}

}  // namespace

Test(lookup_table, finds_the_longest_block) {
  const auto table =
      TableOf({Assign("10.0.0.0/8", 1), Assign("10.1.0.0/16", 2),
               Assign("10.1.2.0/24", 3), Assign("10.1.255.0/24", 1),
               Assign("255.255.255.255/32", 4), Assign("2001:db8::/32", 2),
               Assign("2001:db8:0:1::/64", 3), Assign("2001:db8:0:1::8/125", 4),
               Assign("2001:db8:0:2::1/128", 1)},
              4);
  struct Row {
    const char* address;
    std::uint64_t site;
  };
  constexpr std::array kRows{
      Row{"9.255.255.255", 0},    Row{"10.0.0.0", 1},
      Row{"10.1.0.1", 2},         Row{"10.1.2.255", 3},
      Row{"10.1.3.0", 2},         Row{"10.1.255.9", 1},
      Row{"10.2.0.0", 1},         Row{"11.0.0.0", 0},
      Row{"255.255.255.254", 0},  Row{"255.255.255.255", 4},
      Row{"2001:db7::", 0},       Row{"2001:db8::", 2},
      Row{"2001:db8:0:1::7", 3},  Row{"2001:db8:0:1::8", 4},
      Row{"2001:db8:0:1::10", 3}, Row{"2001:db8:0:2::", 2},
      Row{"2001:db8:0:2::1", 1},  Row{"2001:db8:0:2::2", 2},
      Row{"2001:db9::", 0},
  };
  for (const auto& row : kRows)
    cr_expect(SiteOf(*table, *ClientAddress::Parse(row.address)) == row.site,
              "%s", row.address);
}

Test(lookup_table, agrees_with_a_linear_search) {
  for (std::uint64_t seed = 0; seed < 10000; ++seed)
    CheckRandomTable(seed);
}

Test(lookup_table, finds_nothing_without_blocks) {
  const auto table = TableOf({}, 1);
  cr_expect(SiteOf(*table, *ClientAddress::Parse("10.0.0.1")) == 0);
  cr_expect(SiteOf(*table, *ClientAddress::Parse("2001:db8::1")) == 0);
}

Test(lookup_table, replaces_the_state_of_one_site) {
  const auto table =
      TableOf({Assign("10.0.0.0/8", 1), Assign("11.0.0.0/8", 2)}, 2);
  const SiteState down{.site = SiteId(2), .up = false};
  const auto changed = table->WithSite(down);
  const auto address = *ClientAddress::Parse("11.0.0.1");
  cr_expect(table->Find(address)->state.up);
  cr_expect(changed->Find(address)->state == down);
  cr_expect(changed->Find(*ClientAddress::Parse("10.0.0.1"))->state == Site(1));
  cr_expect(table->WithSite(Site(3)) == nullptr);
}

Test(lookup_table, rejects_contradictory_input) {
  struct Row {
    std::vector<std::uint64_t> sites;
    std::vector<BlockAssignment> blocks;
    std::optional<LookupError> error;
  };
  const std::vector<Row> rows{
      {{1, 2},
       {Assign("10.0.0.0/8", 1), Assign("10.0.0.0/8", 2)},
       LookupError::kConflictingBlock},
      {{1, 2}, {Assign("10.0.0.0/8", 1), Assign("10.0.0.0/8", 1)}, {}},
      {{1}, {Assign("10.0.0.0/8", 2)}, LookupError::kUnknownSite},
      {{1, 1}, {}, LookupError::kDuplicateSite},
  };
  for (const auto& row : rows) {
    LookupTableBuilder builder{Revision(1)};
    for (const std::uint64_t site : row.sites)
      builder.AddSite(Site(site));
    for (const auto& block : row.blocks)
      builder.AddBlock(block);
    cr_expect(BuildError(builder) == row.error);
  }
}
