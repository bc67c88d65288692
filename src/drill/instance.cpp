#include "drill/instance.hpp"

#include <algorithm>

namespace meadow::drill {
namespace {

constexpr std::uint32_t periodic = 0;

Status status_of(std::uint16_t code) {
  switch (code) {
    case 10:
      return Status::delivered;
    case 30:
      return Status::full;
    case 40:
      return Status::timeout;
    case 50:
      return Status::unreachable;
    case 60:
      return Status::reset;
    case 70:
      return Status::cancelled;
    case 80:
      return Status::moot;
    default:
      return Status::error;  // unknown outcomes prove nothing
  }
}

Standing standing_of(std::uint8_t code) {
  return code == 1 ? Standing::ready : code == 2 ? Standing::draining : Standing::gone;
}

Gauge gauge_at(Record r, std::size_t offset) {
  Gauge g;
  g.n = std::min<int>(r.get<std::uint8_t>(offset), 4);
  for (int i = 0; i < g.n; ++i) g.v[i] = r.get<float>(offset + 1 + 4 * i);
  return g;
}

}  // namespace

Settings parse_settings(std::string_view text) {
  Settings s;
  while (!text.empty()) {
    auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (auto eq = line.find('='); eq != std::string_view::npos && eq > 0)
      s.insert_or_assign(std::string(line.substr(0, eq)), std::string(line.substr(eq + 1)));
  }
  return s;
}

Instance::Instance(const Settings& settings, std::uint64_t seed, double now, Reply& out)
    : brain_(settings, seed, now) {
  out.set_alarm(brain_.tick_every(), periodic);
}

int Instance::index_of(std::uint32_t upstream) {
  auto [it, fresh] = index_.try_emplace(upstream, static_cast<int>(upstreams_.size()));
  if (fresh) upstreams_.push_back(upstream);
  return it->second;
}

void Instance::set_due(Job job, Held& held, double at) {
  if (held.due != never) due_.erase({held.due, job});
  held.due = at;
  if (at != never) due_.insert({at, job});
}

void Instance::release(Visits::iterator it) {
  auto& [job, held] = *it;
  if (held.visit.answered) set_due(job, held, never);
  if (held.visit.answered && held.visit.out == 0) visits_.erase(it);
}

void Instance::carry_out(Visits::iterator it, const Answer& a, double now, Reply& out) {
  auto& [job, held] = *it;
  for (int i = 0; i < most_fetches; ++i)
    if (a.cancel >> i & 1) out.cancel(job, static_cast<std::uint8_t>(i));
  switch (a.kind) {
    case Answer::fetch:
    case Answer::later: {
      auto p = brain_.wait(held.visit, now);
      if (a.kind == Answer::fetch) out.forward(job, upstreams_[a.be], p.limit);
      set_due(job, held, p.again == never ? never : now + p.again);
      break;
    }
    case Answer::bounce:
      out.bounce(job, a.retry_after);
      break;
    case Answer::error:
      out.drop_request(job);
      break;
    case Answer::nothing:
      break;
  }
  release(it);
}

void Instance::knock(Record r, double now, Reply& out) {
  auto attrs = r.get<std::uint8_t>(26);
  auto [it, fresh] = visits_.try_emplace(r.get<Job>(1));
  if (!fresh) return;
  auto& v = it->second.visit;
  v.prefix = r.get<std::uint8_t>(9);
  v.tenant = r.get<std::uint16_t>(35);
  v.arrived = now;
  v.due = r.get<double>(10);
  v.repeat = attrs & 2;
  carry_out(it, brain_.where(v, now), now, out);
}

void Instance::report_back(Record r, double now, Reply& out) {
  auto it = visits_.find(r.get<Job>(1));
  if (it == visits_.end()) return;
  Report rt;
  rt.number = r.get<std::uint8_t>(24);
  rt.status = status_of(r.get<std::uint16_t>(9));
  rt.closed = r.get<std::uint8_t>(15) != 0;
  rt.gauge = gauge_at(r, 25);
  carry_out(it, brain_.after(it->second.visit, rt, now), now, out);
}

void Instance::begun(Record r, double now, Reply& out) {
  auto it = visits_.find(r.get<Job>(1));
  if (it != visits_.end())
    carry_out(it, brain_.begun(it->second.visit, r.get<std::uint8_t>(9), now), now, out);
}

void Instance::client_gone(Record r, double now, Reply& out) {
  auto it = visits_.find(r.get<Job>(1));
  if (it == visits_.end() || it->second.visit.answered) return;
  carry_out(it, brain_.left(it->second.visit, now), now, out);
}

void Instance::probe_done(Record r, double now) {
  auto it = index_.find(r.get<std::uint32_t>(1));
  if (it != index_.end())
    brain_.probed(it->second, status_of(r.get<std::uint16_t>(5)), r.get<double>(7), gauge_at(r, 15), now);
}

void Instance::registry(Record r, std::string_view entries, double now) {
  entries_.clear();
  for (std::size_t at = 0; at + entry_size <= entries.size(); at += entry_size) {
    Record e{entries.data() + at};
    entries_.push_back({.be = index_of(e.get<std::uint32_t>(0)),
                        .zone = e.get<std::uint16_t>(4),
                        .sku = e.get<std::uint8_t>(6),
                        .pod = e.get<std::uint16_t>(7),
                        .standing = standing_of(e.get<std::uint8_t>(9)),
                        .weight = e.get<float>(10),
                        .up_since = e.get<double>(14)});
  }
  auto how = r.get<std::uint8_t>(1);
  if (how <= 3) brain_.list(static_cast<ListKind>(how), entries_, now);
}

void Instance::alarm(Record r, double now, Reply& out) {
  auto nonce = r.get<std::uint32_t>(1);
  if (nonce == periodic) {
    auto c = brain_.tick(now);
    if (c.subscribe) out.keep_informed(true);
    if (c.lookup) out.lookup();
    for (int be : c.probe) out.ask_load(upstreams_[be]);
    for (const auto& line : c.lines) out.journal_line(line);
    out.set_alarm(brain_.tick_every(), periodic);
    return;
  }
  if (nonce != nonce_) return;  // a later one took its place
  alarm_at_ = never;
  while (!due_.empty() && due_.begin()->first <= now) {
    auto it = visits_.find(due_.begin()->second);
    set_due(it->first, it->second, never);
    carry_out(it, brain_.where(it->second.visit, now), now, out);
  }
}

void Instance::settle(double now, Reply& out) {
  if (due_.empty() || due_.begin()->first >= alarm_at_) return;
  alarm_at_ = due_.begin()->first;
  if (++nonce_ == periodic) ++nonce_;
  out.set_alarm(std::max(0.0, alarm_at_ - now), nonce_);
}

}  // namespace meadow::drill
