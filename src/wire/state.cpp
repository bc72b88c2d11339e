#include "wire/state.hpp"

#include "wire/names.hpp"

namespace elmstall::wire {

Entry decode_entry(const Object& object) {
  const Fields fields(object);
  return {fields.text("key"), pack_object(fields.require("value")), fields.integer("stamp")};
}

Listing decode_listing(const Object& object) {
  const Fields fields(object);
  Listing listing;
  listing.truncated = fields.flag_or("truncated", false);
  listing.revision = fields.integer("ledger_rev");
  const auto [first, last] = elements(&fields.require("entries"), "entries");
  for (const auto* item = first; item != last; ++item)
    listing.entries.push_back(decode_entry(*item));
  return listing;
}

Changes decode_changes(const Object& object) {
  const Fields fields(object);
  Changes changes;
  changes.revision = fields.integer("ledger_rev");
  const auto [first, last] = elements(fields.find("log"), "log");
  for (const auto* item = first; item != last; ++item) {
    const Fields one(*item);
    Change change;
    change.mod_revision = one.integer("stamp");
    if (auto key = one.maybe_text("set")) {
      change.key = std::move(*key);
      change.value = pack_object(one.require("value"));
    } else {
      change.key = one.text("delete");
    }
    changes.log.push_back(std::move(change));
  }
  return changes;
}

std::string encode_transaction(const Transaction& transaction) {
  Packer packer;
  packer.map(2).key("guards").list(transaction.preconditions.size());
  for (const auto& precondition : transaction.preconditions)
    packer.map(2).key("key").text(precondition.key).key("stamp").integer(precondition.mod_revision);
  packer.key("writes").list(transaction.writes.size());
  for (const auto& write : transaction.writes) {
    if (!write.value) {
      packer.map(1).key("delete").text(write.key);
      continue;
    }
    packer.map(write.lease != 0 ? 3 : 2).key("set").text(write.key).key("value").raw(*write.value);
    if (write.lease != 0) packer.key("hold").integer(write.lease);
  }
  return packer.take();
}

}  // namespace elmstall::wire
