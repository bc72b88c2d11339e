#include "wire/state.hpp"

namespace elmstall::wire {
namespace {

Change decode_change(const Object& object) {
  const Fields fields(object);
  Change change;
  change.mod_revision = fields.integer("stamp");
  if (auto key = fields.maybe_text("set")) {
    change.key = std::move(*key);
    change.value = pack_object(fields.require_or_null("value"));
  } else {
    change.key = fields.text("delete");
  }
  return change;
}

void pack_precondition(Packer& packer, const Precondition& precondition) {
  packer.map(2);
  packer.key("key").text(precondition.key);
  packer.key("stamp").integer(precondition.mod_revision);
}

void pack_write(Packer& packer, const Write& write) {
  if (!write.value) {
    packer.map(1).key("delete").text(write.key);
    return;
  }
  const bool has_lease = write.lease != 0;
  packer.map(has_lease ? 3 : 2);
  packer.key("set").text(write.key);
  packer.key("value").raw(*write.value);
  if (has_lease) packer.key("hold").integer(write.lease);
}

std::string milliseconds(double seconds) {
  return std::to_string(static_cast<long>(seconds * 1000));
}

}  // namespace

std::string entry_path(std::string_view key) { return std::string("/kv/").append(key); }

std::string listing_path(std::string_view prefix, std::string_view since, int page_size) {
  std::string path = "/kv?under=";
  path.append(prefix).append("&most=").append(std::to_string(page_size));
  if (!since.empty()) path.append("&since=").append(since);
  return path;
}

std::string watch_path(std::string_view prefix, std::uint64_t since, double max_wait_s) {
  std::string path = "/follow?under=";
  path.append(prefix).append("&since=").append(std::to_string(since));
  return path.append("&hold_ms=").append(milliseconds(max_wait_s));
}

std::string lease_renewal_path(std::uint64_t lease) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease) + "/renew";
}

Entry decode_entry(const Object& object) {
  const Fields fields(object);
  return {fields.text("key"), pack_object(fields.require_or_null("value")),
          fields.integer("stamp")};
}

Listing decode_listing(const Object& object) {
  const Fields fields(object);
  Listing listing;
  listing.truncated = fields.flag("truncated");
  listing.revision = fields.integer("ledger_rev");
  for (const auto& item : elements(&fields.require("entries"), "entries"))
    listing.entries.push_back(decode_entry(item));
  return listing;
}

Changes decode_changes(const Object& object) {
  const Fields fields(object);
  Changes changes;
  changes.revision = fields.integer("ledger_rev");
  for (const auto& item : elements(&fields.require("log"), "log"))
    changes.log.push_back(decode_change(item));
  return changes;
}

std::string encode_transaction(const Transaction& transaction) {
  Packer packer;
  packer.map(2);
  packer.key("guards").list(transaction.preconditions.size());
  for (const auto& precondition : transaction.preconditions)
    pack_precondition(packer, precondition);
  packer.key("writes").list(transaction.writes.size());
  for (const auto& write : transaction.writes) pack_write(packer, write);
  return packer.take();
}

std::vector<std::string> decode_failed_preconditions(const Object& object) {
  auto keys = texts(&Fields(object).require("failed"), "failed");
  if (keys.empty()) throw DecodeError("field 'failed' names no key");
  return keys;
}

bool is_missing_lease_error(std::string_view body) {
  return body.find("no such lease") != std::string_view::npos;
}

std::uint64_t decode_revision(const Object& object) { return Fields(object).integer("ledger_rev"); }

std::string encode_lease_request(double lease_ttl_s) {
  Packer packer;
  packer.map(1).key("life_ms").integer(static_cast<std::uint64_t>(lease_ttl_s * 1000));
  return packer.take();
}

std::uint64_t decode_lease(const Object& object) { return Fields(object).integer("hold"); }

}  // namespace elmstall::wire
