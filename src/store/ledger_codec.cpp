#include "store/ledger_codec.hpp"

#include "config/constants.hpp"

namespace elmstall::store {
namespace {

// Parts of the packed lists: entries have no field names, to save space.
constexpr std::size_t kBlockParts = 5;    // job, number, size, done bits, tasks
constexpr std::size_t kTaskParts = 3;     // index, attempt, machine
constexpr std::size_t kMachineParts = 5;  // id, addr, type, zone, flags
constexpr std::size_t kRemovedParts = 1;  // id

// Bits of a machine's flags.
constexpr std::uint64_t kSpotFlag = 1;
constexpr std::uint64_t kRetiredFlag = 2;

// Upper bounds of the sizes of values as JSON, in bytes, each with the comma that follows it.
constexpr std::size_t kJsonNumberBytes = 11;
constexpr std::size_t kJsonListBytes = 3;
std::size_t json_text_bytes(const std::string& text) { return text.size() + 3; }

constexpr std::size_t kBitsPerDigit = 4;

/// Values must not contain binary data, so the bits are written as hexadecimal digits. The first
/// bit is the lowest bit of the first digit.
std::string to_hex(const std::vector<bool>& bits) {
  std::string text((bits.size() + kBitsPerDigit - 1) / kBitsPerDigit, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned digit = 0;
    for (std::size_t j = 0; j < kBitsPerDigit && i * kBitsPerDigit + j < bits.size(); ++j)
      digit |= (bits[i * kBitsPerDigit + j] ? 1U : 0U) << j;
    text[i] = "0123456789abcdef"[digit];
  }
  return text;
}

std::vector<bool> from_hex(std::string_view text, std::size_t size) {
  std::vector<bool> bits(size);
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t at = i / kBitsPerDigit;
    if (at >= text.size()) throw wire::DecodeError("done bits are too short");
    const char c = text[at];
    const unsigned digit =
        c >= 'a' ? static_cast<unsigned>(c - 'a') + 10 : static_cast<unsigned>(c - '0');
    bits[i] = ((digit >> (i % kBitsPerDigit)) & 1U) != 0;
  }
  return bits;
}

TaskRecord decode_task(const wire::Object& object) {
  const auto parts = wire::elements(&object, "task");
  if (parts.size() != kTaskParts) throw wire::DecodeError("a task record has three parts");
  TaskRecord task;
  task.index = static_cast<std::uint32_t>(wire::as_integer(parts[0], "index"));
  task.attempt = wire::as_integer(parts[1], "attempt");
  task.machine = wire::as_text(parts[2], "host");
  return task;
}

BlockEntry decode_block(const wire::Object& object) {
  const auto parts = wire::elements(&object, "block");
  if (parts.size() != kBlockParts) throw wire::DecodeError("a block has five parts");
  BlockEntry entry;
  entry.job = wire::as_text(parts[0], "job");
  entry.number = static_cast<std::uint32_t>(wire::as_integer(parts[1], "number"));
  const auto size = wire::as_integer(parts[2], "size");
  if (size > constants::kMaxTasks) throw wire::DecodeError("a block is too large");
  entry.record.done = from_hex(wire::as_text(parts[3], "done"), size);
  for (const auto& task : wire::elements(&parts[4], "tasks"))
    entry.record.tasks.push_back(decode_task(task));
  return entry;
}

MachineEntry decode_machine(const wire::Object& object) {
  const auto parts = wire::elements(&object, "host");
  MachineEntry entry;
  if (parts.size() == kRemovedParts) {
    entry.id = wire::as_text(parts[0], "host");
    entry.removed = true;
    return entry;
  }
  if (parts.size() != kMachineParts) throw wire::DecodeError("a host has five parts");
  const auto flags = wire::as_integer(parts[4], "flags");
  entry.id = wire::as_text(parts[0], "host");
  entry.record.addr = wire::as_text(parts[1], "addr");
  entry.record.type = wire::as_text(parts[2], "type");
  entry.record.zone = wire::as_text(parts[3], "zone");
  entry.record.spot = (flags & kSpotFlag) != 0;
  entry.record.retired = (flags & kRetiredFlag) != 0;
  return entry;
}

}  // namespace

PackedEntry pack(const BlockEntry& entry) {
  wire::Packer packer;
  const auto bits = to_hex(entry.record.done);
  packer.list(kBlockParts).text(entry.job).integer(entry.number);
  packer.integer(entry.record.done.size()).text(bits);
  packer.list(entry.record.tasks.size());
  std::size_t json_bytes = 2 * kJsonListBytes + json_text_bytes(entry.job) + 2 * kJsonNumberBytes +
                           json_text_bytes(bits);
  for (const auto& task : entry.record.tasks) {
    packer.list(kTaskParts).integer(task.index).integer(task.attempt).text(task.machine);
    json_bytes += kJsonListBytes + 2 * kJsonNumberBytes + json_text_bytes(task.machine);
  }
  return {packer.take(), json_bytes};
}

PackedEntry pack(const MachineEntry& entry) {
  wire::Packer packer;
  if (entry.removed) {
    packer.list(kRemovedParts).text(entry.id);
    return {packer.take(), kJsonListBytes + json_text_bytes(entry.id)};
  }
  const auto& machine = entry.record;
  packer.list(kMachineParts).text(entry.id);
  packer.text(machine.addr).text(machine.type).text(machine.zone);
  packer.integer((machine.spot ? kSpotFlag : 0) | (machine.retired ? kRetiredFlag : 0));
  return {packer.take(), kJsonListBytes + json_text_bytes(entry.id) +
                             json_text_bytes(machine.addr) + json_text_bytes(machine.type) +
                             json_text_bytes(machine.zone) + kJsonNumberBytes};
}

std::string encode_slot(std::uint64_t number, const std::vector<std::string>& blocks,
                        const std::vector<std::string>& machines) {
  wire::Packer packer;
  packer.map(3).key("n").integer(number);
  packer.key("b").list(blocks.size());
  for (const auto& block : blocks) packer.raw(block);
  packer.key("h").list(machines.size());
  for (const auto& machine : machines) packer.raw(machine);
  return packer.take();
}

SlotRecord decode_slot(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  SlotRecord slot;
  slot.number = fields.integer("n");
  for (const auto& block : wire::elements(&fields.require("b"), "b"))
    slot.blocks.push_back(decode_block(block));
  for (const auto& machine : wire::elements(&fields.require("h"), "h"))
    slot.machines.push_back(decode_machine(machine));
  return slot;
}

}  // namespace elmstall::store
