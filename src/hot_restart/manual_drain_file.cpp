#include "hot_restart/manual_drain_file.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge::hot_restart {

namespace {
constexpr std::string_view file_name = "outs";  // name on disk, also the kind in the first line
}

std::string encode_drains(const std::set<std::string>& names) {
  std::string body;
  for (const auto& name : names) body.append(name) += '\n';
  return add_checksum(file_name, body);
}

std::variant<std::set<std::string>, TextError> decode_drains(std::string_view text) {
  auto verified = verify_checksum(file_name, text);
  if (const auto* error = std::get_if<TextError>(&verified)) return *error;
  std::set<std::string> names;
  std::string_view remaining = std::get<std::string>(verified);
  while (!remaining.empty() && names.size() < ManualDrainFile::max_servers) {
    auto name = remaining.substr(0, remaining.find('\n'));
    remaining.remove_prefix(std::min(remaining.size(), name.size() + 1));
    names.emplace(name);
  }
  return names;
}

ManualDrainFile::ManualDrainFile(StateDirectory directory, proxy::Logger log)
    : directory_(std::move(directory)), log_(std::move(log)) {
  reread();
}

// If the file is invalid, keeps the current set, so that a damaged file ends no drain.
void ManualDrainFile::reread() {
  auto text = directory_.read(file_name);
  if (text == last_text_) return;
  last_text_ = text;
  auto decoded = decode_drains(text);
  if (const auto* error = std::get_if<TextError>(&decoded)) return log_invalid_file(*error);
  names_ = std::move(std::get<std::set<std::string>>(decoded));
}

void ManualDrainFile::log_invalid_file(const TextError& error) const {
  auto path = directory_.path_of(file_name);
  auto reason = name_of(error.kind);
  log_(proxy::Level::warning, "manual drain file ignored: " + path + ": " + std::string(reason),
       {{.name = "file", .value = path},
        {.name = "reason", .value = reason},
        {.name = "drained", .value = static_cast<double>(names_.size())}});
}

void ManualDrainFile::log_write_failure(const std::error_code& error) const {
  auto path = directory_.path_of(file_name);
  auto reason = error.message();
  log_(proxy::Level::warning, "manual drains not stored: cannot write " + path + ": " + reason,
       {{.name = "file", .value = path}, {.name = "reason", .value = reason}});
}

bool ManualDrainFile::refresh() {
  if (!directory_.exists()) return false;
  auto previous_names = names_;
  reread();
  return names_ != previous_names;
}

bool ManualDrainFile::set_drained(const std::string& server, bool drained) {
  auto lock = directory_.lock();
  reread();
  if (drained && names_.size() >= max_servers) return false;
  if (drained)
    names_.insert(server);
  else
    names_.erase(server);
  if (!directory_.exists()) return true;
  auto text = encode_drains(names_);
  if (auto error = directory_.write(file_name, text))
    log_write_failure(error);
  else
    last_text_ = std::move(text);
  return true;
}

}  // namespace meadowgauge::hot_restart
