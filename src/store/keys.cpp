#include "store/keys.hpp"

#include <charconv>

namespace elmstall::store {
namespace {

constexpr std::string_view kJobs = "elm/l/job/";
constexpr std::string_view kSlots = "elm/l/log/";
constexpr std::string_view kDelegations = "elm/l/care/";
constexpr std::string_view kFinals = "elm/f/";
// The two prefixes of the layout before the ledger log.
constexpr std::string_view kEarlierBlocks = "elm/l/block/";
constexpr std::string_view kEarlierMachines = "elm/l/host/";

std::string joined(std::string_view prefix, std::string_view id) {
  return std::string(prefix).append(id);
}

Key parse_slot_key(std::string_view key) {
  Key parsed{Key::Kind::slot, {}, 0};
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + kSlots.size(), end, parsed.number);
  const bool valid = error == std::errc() && stop == end;
  return valid ? parsed : Key{};
}

}  // namespace

std::string job_key(std::string_view id) { return joined(kJobs, id); }
std::string slot_key(std::uint32_t number) { return joined(kSlots, std::to_string(number)); }
std::string delegation_key(std::string_view node) { return joined(kDelegations, node); }
std::string final_key(std::string_view id) { return joined(kFinals, id); }

Key parse_key(std::string_view key) {
  const auto rest = [&](std::string_view prefix) { return std::string(key.substr(prefix.size())); };
  if (key == kTermKey) return {Key::Kind::term, {}, 0};
  if (key == kLeadKey) return {Key::Kind::lead, {}, 0};
  if (key == kTypesKey) return {Key::Kind::types, {}, 0};
  if (key.starts_with(kJobs)) return {Key::Kind::job, rest(kJobs), 0};
  if (key.starts_with(kDelegations)) return {Key::Kind::delegation, rest(kDelegations), 0};
  if (key.starts_with(kFinals)) return {Key::Kind::final, rest(kFinals), 0};
  if (key.starts_with(kSlots)) return parse_slot_key(key);
  if (key.starts_with(kEarlierBlocks) || key.starts_with(kEarlierMachines))
    return {Key::Kind::earlier, {}, 0};
  return {};
}

}  // namespace elmstall::store
