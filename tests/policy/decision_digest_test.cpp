// Holds the policy to its decisions: generated days of a small tier, and a digest of all answers for each
// kind of settings. A change of form leaves every digest as it is; a change of a decision names it and
// replaces the constants (decision_digest/cases.hpp).
//
// The days have a random generator of their own, so that they do not depend on the policy's draws. Of log
// events only the number enters the digest.
//
// The digests hold for IEEE doubles and a C library whose exp, log and sqrt round alike: where all of them
// differ at once without a change of src/policy, suspect the library.
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
