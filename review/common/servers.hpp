// Stand-ins of the platform: servers with one thread a connection, and discovery.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "processes.hpp"

namespace review {

// A request as a server received it, to its last byte.
struct ReceivedRequest {
  Head head;
  std::string body;
};

// Accepts connections and serves each in a thread of its own. The handler answers one request; it returns
// false to close the connection.
class Server {
 public:
  using Handler = std::function<bool(const Socket& connection, const ReceivedRequest& request)>;

  Server(const std::string& host, Handler handler) : address_{.host = host}, handler_(std::move(handler)) {
    listener_ = listen_on(address_);
    if (listener_) acceptor_ = std::thread([this] { accept_all(); });
  }
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] bool listening() const { return static_cast<bool>(listener_); }
  [[nodiscard]] const Address& address() const { return address_; }
  [[nodiscard]] bool stopping() const { return stopping_; }

  void stop() {
    stopping_ = true;
    if (acceptor_.joinable()) acceptor_.join();
    std::vector<std::thread> threads;
    {
      std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (auto& thread : threads) thread.join();
  }

 private:
  void accept_all() {
    while (!stopping_) {
      if (!wait_for(listener_, POLLIN, 50)) continue;
      int fd = accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int enable = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
      std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] { serve(Socket(fd)); });
    }
    listener_.close();
  }

  void serve(Socket connection) {
    std::string bytes;
    while (!stopping_) {
      auto request = read_request(connection, bytes);
      if (!request || !handler_(connection, *request)) return;
    }
  }

  // Empty if the connection ended. Bodies have a length: the balancer knows the whole body of small requests.
  std::optional<ReceivedRequest> read_request(const Socket& connection, std::string& bytes) {
    std::optional<Head> head;
    while (!(head = take_head(bytes)))
      if (!receive(connection, bytes)) return {};
    auto length = static_cast<std::size_t>(std::atol(head->field("content-length").c_str()));
    while (bytes.size() < length)
      if (!receive(connection, bytes)) return {};
    ReceivedRequest request{.head = std::move(*head), .body = bytes.substr(0, length)};
    bytes.erase(0, length);
    return request;
  }

  bool receive(const Socket& connection, std::string& bytes) {
    while (!stopping_) {
      auto result = read_some(connection, bytes, 50);
      if (result == ReadResult::bytes) return true;
      if (result != ReadResult::nothing) return false;
    }
    return false;
  }

  Address address_;
  Handler handler_;
  Socket listener_;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

inline std::string response_head(int status, const std::string& fields, std::size_t length) {
  std::string reason = status == 200 ? "OK" : "Error";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

// One entry of discovery's list.
struct Host {
  std::string name;
  std::string dial;
  std::string site = "a";
  std::string kind = "m";
  int block = 0;
  std::string health = "active";
  double born_ms = 0;

  [[nodiscard]] std::string json() const {
    return R"({"host":")" + name + R"(","dial":")" + dial + R"(","site":")" + site + R"(","class":")" + kind +
           R"(","block":)" + std::to_string(block) + R"(,"health":")" + health +
           R"(","share":1.0,"born_ms":)" + std::to_string(static_cast<long long>(born_ms)) + "}";
  }
};

inline std::string list_json(int seq, bool whole, const std::vector<Host>& hosts) {
  std::string text =
      R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)";
  for (std::size_t i = 0; i < hosts.size(); ++i) text += (i > 0 ? "," : "") + hosts[i].json();
  return text + "]}";
}

// Discovery: answers the whole list, and a watch with changes and an empty line every 2 s.
class Discovery {
 public:
  // Decides about a call before it is answered: false refuses it with 503.
  using Admission = std::function<bool(const std::string& target)>;

  Discovery(const std::string& host, std::vector<Host> hosts, Admission admit = {})
      : hosts_(std::move(hosts)),
        admit_(std::move(admit)),
        server_(host, [this](const Socket& socket, const ReceivedRequest& request) {
          return answer(socket, request.head.target());
        }) {}

  [[nodiscard]] bool listening() const { return server_.listening(); }
  [[nodiscard]] const Address& address() const { return server_.address(); }
  void stop() { server_.stop(); }

  // Changes the entry of a host, or adds it, and tells it to the open watches.
  void change(const Host& changed) {
    std::lock_guard lock(mutex_);
    ++seq_;
    changes_.push_back({seq_, changed});
    auto same_name = [&](const Host& host) { return host.name == changed.name; };
    std::erase_if(hosts_, same_name);
    if (changed.health != "left") hosts_.push_back(changed);
  }

 private:
  struct Change {
    int seq;
    Host host;
  };

  bool answer(const Socket& socket, const std::string& target) {
    if (admit_ && !admit_(target)) return send_all(socket, response_head(503, "Retry-After: 1\r\n", 0), 1000);
    auto after = target.find("after=");
    if (target.find("watch=1") == std::string::npos) {
      auto list = whole_list();
      return send_all(socket, response_head(200, "", list.size()) + list, 1000);
    }
    return watch(socket, after == std::string::npos ? 0 : std::atoi(target.c_str() + after + 6));
  }

  std::string whole_list() {
    std::lock_guard lock(mutex_);
    return list_json(seq_, true, hosts_);
  }

  // The first line of a watch: the whole list for versions that are not on record, else what has changed.
  std::string first_line(int& known) {
    {
      std::lock_guard lock(mutex_);
      if (known < first_seq || known > seq_) {
        known = seq_;
        return list_json(seq_, true, hosts_) + "\n";
      }
    }
    auto lines = lines_after(known);
    return lines.empty() ? list_json(known, false, {}) + "\n" : lines;
  }

  // The lines for a watch that knows the versions up to `known`, which is set to the present version.
  std::string lines_after(int& known) {
    std::lock_guard lock(mutex_);
    std::string lines;
    for (const auto& change : changes_)
      if (change.seq > known) lines += list_json(change.seq, false, {change.host}) + "\n";
    known = seq_;
    return lines;
  }

  bool watch(const Socket& socket, int known) {
    if (!send_all(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1000)) return false;
    auto first = first_line(known);
    if (!send_all(socket, chunk(first), 1000)) return false;
    double line_at_ms = now_ms() + 2000;
    while (!server_.stopping()) {
      auto lines = lines_after(known);
      if (lines.empty() && now_ms() >= line_at_ms) lines = "\n";
      if (!lines.empty()) {
        if (!send_all(socket, chunk(lines), 1000)) return false;
        line_at_ms = now_ms() + 2000;
      }
      if (wait_for(socket, POLLIN, 20)) return false;  // the balancer has closed the watch
    }
    return false;
  }

  static std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }

  static constexpr int first_seq = 41;
  std::mutex mutex_;
  std::vector<Host> hosts_;
  std::vector<Change> changes_;
  int seq_ = first_seq;
  Admission admit_;
  Server server_;
};

}  // namespace review
