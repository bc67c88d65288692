// Holds the policy to its decisions. Generated days of a small tier go through it, and all that it answers is
// summed up in one number for each kind of settings. A change that is meant to leave the decisions as they
// are leaves every digest as it is; one that mends a decision says so and replaces the constants
// (decision_digest/cases.hpp).
//
// The days are driven by a generator of these tests' own, so that nothing here depends on the policy's draws.
// The wording of log lines is no decision: only their number is summed up.
//
// The digests hold for IEEE doubles and a C library whose exp, log and sqrt round alike: on a machine where
// all of them differ at once and nothing in src/policy was changed, suspect the library.
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
