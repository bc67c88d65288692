// A stand-in for the discovery agent: the whole list, and watches on changes.
#pragma once

#include <condition_variable>
#include <map>
#include <string>

#include "server.hpp"

namespace review {

// One entry of the list, as the protocol page has it.
struct Host {
  std::string name;
  std::string address;
  std::string site = "a";
  int block = 0;
  std::string health = "active";
  double born_ms = 0;
};

class Discovery {
 public:
  // The list has version 1 at the start.
  explicit Discovery(const std::vector<Host>& hosts);
  ~Discovery() { stop(); }

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Sets an entry; all watches are told.
  void set(const Host& host);
  // The whole list as JSON, for the balancer's configuration.
  [[nodiscard]] std::string whole_list();
  void stop();

 private:
  struct Entry {
    Host host;
    long version = 1;
  };

  void serve(Socket& connection);
  bool serve_watch(Socket& connection, long after);
  [[nodiscard]] std::string list_after(long after, bool whole) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  long version_ = 1;
  std::atomic<bool> stopping_ = false;
  Server server_;
};

}  // namespace review
