#include "policy/key_shares.hpp"

#include <algorithm>
#include <iterator>

namespace meadowgauge {
namespace {

constexpr std::uint64_t key_id_bits = 0xffffff;

}  // namespace

std::uint64_t mix_bits(std::uint64_t bits) {
  bits += 0x9e3779b97f4a7c15;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return bits ^ (bits >> 31);
}

// Returns the key's entry or, if the key is not in the table, the least popular entry, which the caller may
// replace.
KeyShare& KeyShares::find_or_least_popular(std::uint32_t key) {
  KeyShare* least_popular = entries_.data();
  for (auto& entry : entries_) {
    if (entry.key == key) return entry;
    if (entry.share < least_popular->share) least_popular = &entry;
  }
  return *least_popular;
}

double KeyShares::record(std::uint64_t key) {
  ++recorded_requests_;
  double gain = std::max(gain_, uncertainty() / prior_requests_);
  auto id = static_cast<std::uint32_t>(mix_bits(key) & key_id_bits);
  for (auto& entry : entries_) entry.share *= 1 - gain;
  auto& entry = find_or_least_popular(id);
  if (entry.key != id) entry = {.key = id};
  double share_before = entry.share;
  entry.share += gain;
  return share_before;
}

std::vector<KeyShare> KeyShares::top_shares() const {
  std::vector<KeyShare> top;
  std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(top),
               [](const KeyShare& entry) { return entry.share > 0; });
  std::sort(top.begin(), top.end(), [](const KeyShare& a, const KeyShare& b) { return a.share > b.share; });
  top.resize(std::min(top.size(), max_gossip_keys));
  return top;
}

// A key missing from the received shares is assumed to have the smallest received share, or its share in this
// table if that is smaller.
void KeyShares::average_with(const std::vector<KeyShare>& received) {
  if (received.empty()) return;
  for (auto& entry : entries_) {
    auto has_key = [&](const KeyShare& other) { return other.key == entry.key; };
    auto it = std::find_if(received.begin(), received.end(), has_key);
    double other_share = it != received.end() ? it->share : std::min(entry.share, received.back().share);
    entry.share = (entry.share + other_share) / 2;
  }
  for (const auto& other : received) {
    auto& entry = find_or_least_popular(other.key);
    double half_share = other.share / 2;
    if (entry.key != other.key && entry.share < half_share) entry = {.key = other.key, .share = half_share};
  }
}

}  // namespace meadowgauge
