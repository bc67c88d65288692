// The newest state received of each listed server. Endpoint lists may come late, out of order, or from a
// discovery that has begun its versions anew. Values only: no I/O, and no clock but the times handed in, in
// ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::proxy {

class EndpointRegistry {
 public:
  // Takes in a list and returns the changes that follow from it: the list as it stands where it is as new as
  // any received before; otherwise its entries that are newer than what is known, if any. Where only lists of
  // lower versions have come for long, a full one among them, the versions have begun anew: the changes are
  // then what those lists said together, as a full list.
  protocol::EndpointList take(protocol::EndpointList list, double now_ms);
  // Another discovery from here on: its versions are its own. Drains stay until a later list of it says
  // otherwise.
  void begin_anew();

  // The newest version received; the least number there is before any.
  [[nodiscard]] std::int64_t newest() const { return newest_; }
  // How many servers it keeps a state of, for tests of its bound.
  [[nodiscard]] std::size_t remembered() const { return servers_.size(); }

 private:
  struct ServerState {  // the newest received of a server
    std::int64_t seq = 0;
    double started_ms = 0;
    protocol::EndpointListEntry::Health health = protocol::EndpointListEntry::Health::active;
  };
  [[nodiscard]] std::int64_t version_of(const ServerState& known) const {
    return known.seq < newest_full_ ? newest_full_ : known.seq;
  }
  [[nodiscard]] bool is_newer(const protocol::EndpointListEntry& listed, std::int64_t seq) const;
  void record(protocol::EndpointListEntry& listed, std::int64_t seq);
  void record_all(protocol::EndpointList& list);
  void collect_older(const protocol::EndpointList& list, double now_ms);
  protocol::EndpointList adopt(std::int64_t seq);
  void forget();

  std::unordered_map<std::string, ServerState> servers_;
  std::int64_t newest_ = no_version;       // of all lists
  std::int64_t newest_full_ = no_version;  // of those that name all servers
  bool new_discovery_ = false;             // the next list is the first of another discovery
  // What older lists have said, from the first of them on, unless a newer one has come since.
  std::optional<double> older_since_;
  std::optional<std::map<std::string, protocol::EndpointListEntry>> older_list_;
  static constexpr std::int64_t no_version = INT64_MIN;
};

}  // namespace meadowgauge::proxy
