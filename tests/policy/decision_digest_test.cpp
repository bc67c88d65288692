// Detects unintended changes of the policy's decisions. For each case of settings, generated days of a small
// tier are run, and a digest over all decisions is compared with a constant (decision_digest/cases.hpp).
// Refactoring must not change a digest. A commit that changes a decision on purpose says so and replaces the
// constants.
//
// The days use a random generator of their own and do not depend on the random numbers that the policy draws.
// Of log events only the number enters the digest.
//
// The digests depend on IEEE doubles and on the rounding of exp, log and sqrt in the C library: if all
// digests differ at once without a change in src/policy, suspect the library.
#include <gtest/gtest.h>

#include <cstdint>

#include "policy/decision_digest/cases.hpp"
#include "policy/decision_digest/digest.hpp"
#include "policy/decision_digest/generated_day.hpp"

namespace meadowgauge::test::decision_digest {
namespace {

constexpr std::uint64_t seeds = 20;

TEST(DecisionDigest, IsUnchanged) {
  for (const auto& digest_case : digest_cases()) {
    Digest digest;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) GeneratedDay(digest_case, seed, digest).run();
    EXPECT_EQ(digest.sum(), digest_case.expected) << digest_case.name << std::hex << ": 0x" << digest.sum();
  }
}

}  // namespace
}  // namespace meadowgauge::test::decision_digest
