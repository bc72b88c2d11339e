#include "store/keys.hpp"

#include <charconv>

namespace elmstall::store {
namespace {

constexpr std::string_view kJobPrefix = "elm/l/job/";
constexpr std::string_view kSlotPrefix = "elm/l/log/";
constexpr std::string_view kDelegationPrefix = "elm/l/care/";
constexpr std::string_view kFinalPrefix = "elm/f/";
// The two prefixes of the layout before the ledger log.
constexpr std::string_view kEarlierBlockPrefix = "elm/l/block/";
constexpr std::string_view kEarlierMachinePrefix = "elm/l/host/";

std::string joined(std::string_view prefix, std::string_view id) {
  return std::string(prefix).append(id);
}

Key parse_slot_key(std::string_view key) {
  Key parsed{Key::Kind::slot, {}, 0};
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + kSlotPrefix.size(), end, parsed.number);
  const bool valid = error == std::errc() && stop == end;
  return valid ? parsed : Key{};
}

}  // namespace

std::string job_key(std::string_view id) { return joined(kJobPrefix, id); }
std::string slot_key(std::uint32_t number) { return joined(kSlotPrefix, std::to_string(number)); }
std::string delegation_key(std::string_view node) { return joined(kDelegationPrefix, node); }
std::string final_key(std::string_view id) { return joined(kFinalPrefix, id); }

Key parse_key(std::string_view key) {
  const auto rest = [&](std::string_view prefix) { return std::string(key.substr(prefix.size())); };
  if (key == kTermKey) return {Key::Kind::term, {}, 0};
  if (key == kLeadKey) return {Key::Kind::lead, {}, 0};
  if (key == kTypesKey) return {Key::Kind::types, {}, 0};
  if (key.starts_with(kJobPrefix)) return {Key::Kind::job, rest(kJobPrefix), 0};
  if (key.starts_with(kDelegationPrefix))
    return {Key::Kind::delegation, rest(kDelegationPrefix), 0};
  if (key.starts_with(kFinalPrefix)) return {Key::Kind::final, rest(kFinalPrefix), 0};
  if (key.starts_with(kSlotPrefix)) return parse_slot_key(key);
  if (key.starts_with(kEarlierBlockPrefix) || key.starts_with(kEarlierMachinePrefix))
    return {Key::Kind::earlier, {}, 0};
  return {};
}

}  // namespace elmstall::store
