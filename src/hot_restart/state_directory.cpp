#include "hot_restart/state_directory.hpp"

#include <fcntl.h>
#include <sys/file.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace meadowgauge::hot_restart {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_name_chars = 64;  // maximum length of the balancer's name in file names

bool fits_file_name(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
}

std::error_code last_error() { return {errno, std::generic_category()}; }

}  // namespace

StateDirectory::StateDirectory(const std::string& folder, std::string_view name) {
  if (folder.empty()) return;
  folder_ = folder;
  stem_ = "meadowgauge.";
  for (char c : name.substr(0, max_name_chars)) stem_ += fits_file_name(c) ? c : '_';
  stem_ += '.';
  base_ = folder_ + "/" + stem_;
}

FileLock StateDirectory::lock() const {
  if (!exists()) return {};
  FileLock held(open(path_of("lock").c_str(), O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, 0600));
  while (held && flock(held.get(), LOCK_EX) != 0)
    if (errno != EINTR) return {};
  return held;
}

std::error_code StateDirectory::write(std::string_view file, std::string_view text) const {
  auto temporary_path = path_of(file) + ".new";
  transport::Fd fd(open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_NOFOLLOW | O_CLOEXEC, 0600));
  if (!fd) return last_error();
  while (!text.empty()) {
    auto written = ::write(fd.get(), text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return last_error();
    if (written == 0) return std::make_error_code(std::errc::io_error);
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  fd.close();
  if (std::rename(temporary_path.c_str(), path_of(file).c_str()) != 0) return last_error();
  return {};
}

std::string StateDirectory::read(std::string_view file) const {
  std::string text;
  transport::Fd fd(exists() ? open(path_of(file).c_str(), O_RDONLY | O_NOFOLLOW | O_CLOEXEC) : -1);
  std::array<char, 4096> buffer{};
  while (fd && text.size() < max_file_bytes) {
    auto size = ::read(fd.get(), buffer.data(), buffer.size());
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) break;
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return text;
}

}  // namespace meadowgauge::hot_restart
