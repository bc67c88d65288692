// Shared by the tests of the testbed: request classes, experiments and faults parsed from text, temporary
// folders.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <string>
#include <variant>
#include <vector>

#include "testbed/experiment.hpp"
#include "testbed/model/fault_injection.hpp"

namespace meadowgauge::testbed {

// Returns a safe, a non-idempotent and a deduplicated class, in this order.
inline std::vector<RequestClassSpec> request_classes() {
  RequestClassSpec view, pay, put;
  view.name = "view";
  pay.name = "pay";
  pay.idempotency = Idempotency::non_idempotent;
  put.name = "put";
  put.idempotency = Idempotency::deduplicated;
  put.scope = DeduplicationScope::zone;
  put.deduplication_window_ms = 1000;
  return {view, pay, put};
}

// Parses a fault; the test fails if the text is invalid.
inline FaultInjection parse_fault(const std::string& text) {
  auto result = FaultInjection::parse(text);
  if (auto* injection = std::get_if<FaultInjection>(&result)) return *injection;
  ADD_FAILURE() << text << ": " << std::get<FaultInjectionError>(result).text();
  return {};
}

// Parses an experiment; the test fails if the text has problems.
inline Experiment parse_experiment(const std::string& text) {
  std::vector<settings::Problem> problems;
  auto experiment = Experiment::read(settings::read_text(text, "test"), "test", problems);
  for (const auto& problem : problems) ADD_FAILURE() << settings::format_problem("test", problem);
  return experiment;
}

// A temporary folder for one run, removed with its contents.
class RunFolder {
 public:
  RunFolder() {
    static int count = 0;
    auto name = "meadowgauge-testbed-" + std::to_string(getpid()) + "-" + std::to_string(count++);
    path_ = (std::filesystem::temp_directory_path() / name).string();
  }
  ~RunFolder() { std::filesystem::remove_all(path_); }
  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace meadowgauge::testbed
