#include "discovery.hpp"

#include <chrono>

#include "http.hpp"
#include "record.hpp"

namespace review {
namespace {

constexpr double forever_ms = 1e12;
constexpr double send_timeout_ms = 2000;
// While nothing changes, an empty line comes every 2 s.
constexpr std::chrono::milliseconds empty_line_interval(2000);

std::string entry_json(const Host& host) {
  return "{\"host\":\"" + host.name + "\",\"dial\":\"" + host.address + "\",\"site\":\"" + host.site +
         "\",\"class\":\"m\",\"block\":" + std::to_string(host.block) + ",\"health\":\"" + host.health +
         "\",\"share\":1.0,\"born_ms\":" + std::to_string(host.born_ms) + "}";
}

std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

Discovery::Discovery(const std::vector<Host>& hosts)
    : entries_([&] {
        std::map<std::string, Entry> entries;
        for (const auto& host : hosts) entries[host.name] = {.host = host};
        return entries;
      }()),
      server_("127.0.0.1", [this](Socket& connection) { serve(connection); }) {}

void Discovery::set(const Host& host) {
  std::lock_guard lock(mutex_);
  entries_[host.name] = {.host = host, .version = ++version_};
  changed_.notify_all();
}

std::string Discovery::whole_list() {
  std::lock_guard lock(mutex_);
  return list_after(0, true);
}

// A whole list does not name hosts that have left.
std::string Discovery::list_after(long after, bool whole) const {
  std::string hosts;
  for (const auto& [name, entry] : entries_) {
    if (entry.version <= after || (whole && entry.host.health == "left")) continue;
    hosts += (hosts.empty() ? "" : ",") + entry_json(entry.host);
  }
  return "{\"seq\":" + std::to_string(version_) + ",\"whole\":" + (whole ? "true" : "false") +
         ",\"hosts\":[" + hosts + "]}";
}

void Discovery::serve(Socket& connection) {
  MessageReader reader(connection);
  Message request;
  while (reader.read(request, forever_ms) == Io::done) {
    auto after = request.target().find("after=");
    if (after != std::string::npos) {
      serve_watch(connection, std::stol(request.target().substr(after + 6)));
      return;
    }
    auto list = whole_list();
    auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n";
    if (connection.send_all(head + list, now_ms() + send_timeout_ms) != Io::done) return;
  }
}

// The first line holds what changed after that version, also if that is nothing, or the whole list.
bool Discovery::serve_watch(Socket& connection, long after) {
  std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (connection.send_all(head, now_ms() + send_timeout_ms) != Io::done) return false;
  std::unique_lock lock(mutex_);
  bool first = true;
  while (!stopping_) {
    bool whole = first && (after > version_ || after <= 0);
    std::string line = first || after != version_ ? list_after(whole ? 0 : after, whole) + "\n" : "\n";
    after = version_;
    first = false;
    lock.unlock();
    if (connection.send_all(chunk(line), now_ms() + send_timeout_ms) != Io::done) return false;
    lock.lock();
    changed_.wait_for(lock, empty_line_interval, [&] { return stopping_ || version_ != after; });
  }
  return true;
}

void Discovery::stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  server_.stop();
}

}  // namespace review
