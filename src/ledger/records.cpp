#include "ledger/records.hpp"

#include <algorithm>
#include <charconv>

#include "config/constants.hpp"

namespace elmstall::ledger {
namespace {

constexpr std::string_view kJobs = "elm/l/job/";
constexpr std::string_view kBlocks = "elm/l/block/";
constexpr std::string_view kHosts = "elm/l/host/";
constexpr std::string_view kCares = "elm/l/care/";
constexpr std::string_view kFinals = "elm/f/";

std::string joined(std::string_view prefix, std::string_view id) { return std::string(prefix).append(id); }

// Binary data is not allowed in values: four tasks to a hexadecimal digit.
std::string to_hex(const std::vector<bool>& bits) {
  std::string text((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned digit = 0;
    for (std::size_t j = 0; j < 4 && i * 4 + j < bits.size(); ++j) digit |= (bits[i * 4 + j] ? 1U : 0U) << j;
    text[i] = "0123456789abcdef"[digit];
  }
  return text;
}

std::vector<bool> from_hex(std::string_view text, std::size_t size) {
  std::vector<bool> bits(size);
  for (std::size_t i = 0; i < size; ++i) {
    const std::size_t at = i / 4;
    if (at >= text.size()) throw wire::Malformed("done bits are too short");
    const char c = text[at];
    const unsigned digit = c >= 'a' ? static_cast<unsigned>(c - 'a') + 10 : static_cast<unsigned>(c - '0');
    bits[i] = ((digit >> (i % 4)) & 1U) != 0;
  }
  return bits;
}

}  // namespace

std::string job_key(std::string_view id) { return joined(kJobs, id); }
std::string block_key(std::string_view id, std::uint32_t number) {
  return joined(kBlocks, id).append("/").append(std::to_string(number));
}
std::string host_key(std::string_view id) { return joined(kHosts, id); }
std::string care_key(std::string_view node) { return joined(kCares, node); }
std::string final_key(std::string_view id) { return joined(kFinals, id); }

Key parse_key(std::string_view key) {
  const auto rest = [&](std::string_view prefix) { return std::string(key.substr(prefix.size())); };
  if (key == kTermKey) return {Key::Kind::term, {}, 0};
  if (key == kLeadKey) return {Key::Kind::lead, {}, 0};
  if (key == kTypesKey) return {Key::Kind::types, {}, 0};
  if (key.starts_with(kJobs)) return {Key::Kind::job, rest(kJobs), 0};
  if (key.starts_with(kHosts)) return {Key::Kind::host, rest(kHosts), 0};
  if (key.starts_with(kCares)) return {Key::Kind::care, rest(kCares), 0};
  if (key.starts_with(kFinals)) return {Key::Kind::final, rest(kFinals), 0};
  if (key.starts_with(kBlocks)) {
    Key parsed{Key::Kind::block, rest(kBlocks), 0};
    const auto slash = parsed.id.find('/');
    if (slash == std::string::npos) return {};
    const char* end = parsed.id.data() + parsed.id.size();
    const auto [stop, error] = std::from_chars(parsed.id.data() + slash + 1, end, parsed.number);
    if (error != std::errc() || stop != end) return {};
    parsed.id.resize(slash);
    return parsed;
  }
  return {};
}

std::size_t BlockRecord::done_count() const { return static_cast<std::size_t>(std::count(done.begin(), done.end(), true)); }
std::size_t BlockRecord::assigned_count() const {
  return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& task) { return !task.host.empty(); }));
}

std::string encode(const TermRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("n").integer(record.term).take();
}

std::string encode(const LeadRecord& record) {
  wire::Packer packer;
  packer.map(3).key("node").text(record.node).key("inc").text(record.incarnation).key("term").integer(record.term);
  return packer.take();
}

std::string encode(const JobRecord& record) {
  wire::Packer packer;
  packer.map(3).key("spec");
  wire::pack_job(packer, record.spec);
  packer.key("cancelled").flag(record.cancelled).key("at").number(record.submitted);
  return packer.take();
}

std::string encode(const BlockRecord& record) {
  wire::Packer packer;
  packer.map(3).key("n").integer(record.done.size()).key("done").text(to_hex(record.done));
  packer.key("tasks").list(record.tasks.size());
  for (const auto& task : record.tasks) {
    packer.list(3).integer(task.index).integer(task.attempt).text(task.host);
  }
  return packer.take();
}

std::string encode(const HostRecord& record) {
  wire::Packer packer;
  packer.map(5).key("addr").text(record.addr).key("type").text(record.type).key("zone").text(record.zone);
  packer.key("spot").flag(record.spot).key("retired").flag(record.retired);
  return packer.take();
}

std::string encode(const CareRecord& record) {
  wire::Packer packer;
  return packer.map(1).key("zone").text(record.zone).take();
}

std::string encode(const FinalRecord& record) {
  wire::Packer packer;
  packer.map(2).key("state").text(wire::to_text(record.state)).key("tasks").integer(record.tasks);
  return packer.take();
}

TermRecord decode_term(std::string_view packed) { return {wire::Document::parse(packed).fields().integer("n")}; }

LeadRecord decode_lead(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  return {fields.text("node"), fields.text("inc"), fields.integer("term")};
}

JobRecord decode_job(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  return {wire::decode_job(fields.require("spec")), fields.flag_or("cancelled", false), fields.number("at")};
}

BlockRecord decode_block(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  BlockRecord block;
  const auto size = fields.integer("n");
  if (size > constants::kMaxTasks) throw wire::Malformed("a block is too large");
  block.done = from_hex(fields.text("done"), size);
  const auto [first, last] = wire::elements(fields.find("tasks"), "tasks");
  for (const auto* item = first; item != last; ++item) {
    const auto [part, end] = wire::elements(item, "task");
    if (end - part != 3) throw wire::Malformed("a task record has three parts");
    block.tasks.push_back({static_cast<std::uint32_t>(wire::as_integer(part[0], "index")),
                           wire::as_integer(part[1], "attempt"), wire::as_text(part[2], "host")});
  }
  return block;
}

HostRecord decode_host(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  return {fields.text("addr"), fields.text("type"), fields.text("zone"), fields.flag_or("spot", false),
          fields.flag_or("retired", false)};
}

CareRecord decode_care(std::string_view packed) { return {wire::Document::parse(packed).fields().text("zone")}; }

FinalRecord decode_final(std::string_view packed) {
  const auto document = wire::Document::parse(packed);
  const auto fields = document.fields();
  FinalRecord record;
  record.state = fields.text("state") == wire::to_text(wire::JobState::done) ? wire::JobState::done : wire::JobState::cancelled;
  record.tasks = fields.integer_or("tasks", 0);
  return record;
}

std::uint32_t block_size(double value_kb) {
  // Powers of two, at most 256, leaving a tenth of the value for the rest.
  const auto room = static_cast<std::size_t>(value_kb * 1024 * 0.9) / constants::kTaskRecordBytes;
  std::uint32_t size = 1;
  while (size * 2 <= room && size < 256) size *= 2;
  return size;
}

}  // namespace elmstall::ledger
