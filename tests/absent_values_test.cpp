/// \file
/// Null, absent and empty are different values. One test over all fields of messages, records and
/// settings that may be null, absent or empty, with what the program must make of each.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "api/admission.hpp"
#include "autoscaler/boot_time.hpp"
#include "election/term_tracker.hpp"
#include "peer/messages.hpp"
#include "placement/queue_position.hpp"
#include "sched/resources.hpp"
#include "store/records.hpp"
#include "support/jobs.hpp"
#include "support/settings_file.hpp"

namespace elmstall::test {
namespace {

/// What the field under test holds.
enum class Given : std::uint8_t { absent, null, empty };

/// The empty value of a field's type.
enum class Empty : std::uint8_t { text, list, number, count, flag, map };

/// Names of nested fields. Lists are stepped into: all their elements are changed.
using Path = std::vector<std::string_view>;

constexpr const char* kMalformed = "malformed";
/// The expectation for a value that the format can't express; it is not checked.
constexpr const char* kInexpressible = "";

void pack_empty(wire::Packer& packer, Empty empty) {
  switch (empty) {
    case Empty::text:
      packer.text("");
      break;
    case Empty::list:
      packer.list(0);
      break;
    case Empty::number:
      packer.number(0);
      break;
    case Empty::count:
      packer.integer(0);
      break;
    case Empty::flag:
      packer.flag(false);
      break;
    case Empty::map:
      packer.map(0);
      break;
  }
}

/// Packs `object` with the field at the path, from its part `depth` on, changed.
void pack_changed(wire::Packer& packer, const wire::Object& object, const Path& path,
                  std::size_t depth, Given given, Empty empty) {
  if (object.type == msgpack::type::ARRAY) {
    packer.list(object.via.array.size);
    for (const auto& item : object.via.array) pack_changed(packer, item, path, depth, given, empty);
    return;
  }
  const auto& fields = object.via.map;
  const bool last = depth + 1 == path.size();
  packer.map(fields.size - (last && given == Given::absent ? 1 : 0));
  for (const auto& pair : fields) {
    const auto name = wire::as_text(pair.key, "key");
    const bool here = name == path[depth];
    if (here && last && given == Given::absent) continue;
    packer.text(name);
    if (!here) {
      packer.object(pair.val);
    } else if (!last) {
      pack_changed(packer, pair.val, path, depth + 1, given, empty);
    } else if (given == Given::null) {
      packer.null();
    } else {
      pack_empty(packer, empty);
    }
  }
}

/// The message with one field changed.
std::string with_field(const std::string& message, const Path& path, Given given, Empty empty) {
  const auto document = wire::Document::parse(message);
  wire::Packer packer;
  pack_changed(packer, document.root(), path, 0, given, empty);
  return packer.take();
}

/// A valid message, the field of it that is changed, and what the program makes of it.
struct Field {
  const char* name;                        ///< for the name of the test
  std::function<std::string(Given)> read;  ///< what the program makes of the value
  std::string absent;                      ///< what it must be if there is no field
  std::string null;                        ///< what it must be if the field is null
  std::string empty;                       ///< what it must be if the field is empty
};

/// Names the row in the output of the tests.
void PrintTo(const Field& field, std::ostream* out) { *out << field.name; }

/// Reads a message with a changed field; a message that can't be decoded is "malformed".
std::function<std::string(Given)> in_message(
    std::function<std::string()> message, Path path, Empty empty,
    std::function<std::string(const std::string& message)> read) {
  return [=](Given given) -> std::string {
    try {
      return read(with_field(message(), path, given, empty));
    } catch (const wire::DecodeError&) {
      return kMalformed;
    }
  };
}

// --- users -----------------------------------------------------------------------------------

std::string submission() {
  auto job = array(1, 2);
  job.types = wire::AllowedTypes::only({"m12"});
  job.zone = "north";
  job.due_s = 60;
  wire::Packer packer;
  wire::pack_job(packer, job);
  return packer.take();
}

std::string cloud_types() {
  return wire::encode_machine_types(
      {{"m12", 12, 2, 96, 90, 0.5, 6, 2, 12, std::vector<std::string>{"north", "south"}}});
}

config::Settings settings() {
  config::Settings settings;
  settings.zones = {"north", "south"};
  settings.teams = {{"blue", 0, 0, 0, 0}};
  settings.state.value_kb = 4;
  return settings;
}

/// How a submission is answered where the cloud offers these machine types.
std::string admission(const std::string& job, const std::vector<wire::MachineType>& types) {
  const auto deployment = settings();
  api::Admission admission(deployment);
  admission.set_machine_types(types);
  auto spec = wire::decode_job(wire::Document::parse(job).root());
  const auto reason = admission.check(spec, 0);
  return reason ? std::string(api::to_text(*reason)) : "accepted";
}

std::vector<wire::MachineType> types_in(const std::string& response) {
  return wire::decode_machine_types(wire::Document::parse(response).root());
}

Field submitted(const char* name, std::string_view field, Empty empty, std::string absent,
                std::string when_empty) {
  const auto read = [](const std::string& job) { return admission(job, types_in(cloud_types())); };
  return {name, in_message(submission, {field}, empty, read), absent, absent, when_empty};
}

std::string deadline(const std::string& job) {
  const auto due_s = wire::decode_job(wire::Document::parse(job).root()).due_s;
  return due_s ? "due after " + std::to_string(static_cast<int>(*due_s)) + " s" : "no deadline";
}

// --- cloud -----------------------------------------------------------------------------------

Field offered(const char* name, std::string_view field, Empty empty, std::string absent,
              std::string when_empty,
              std::function<std::string(const std::vector<wire::MachineType>&)> read) {
  return {name,
          in_message(cloud_types, {"builds", field}, empty,
                     [=](const std::string& response) { return read(types_in(response)); }),
          absent, absent, when_empty};
}

std::string booting(const std::vector<wire::MachineType>& types) {
  const double boot_s = autoscaler::boot_time_s(types.front());
  return boot_s == constants::kBootTimeDefault ? "usual boot time" : "another boot time";
}

std::string gpus(const std::vector<wire::MachineType>& types) {
  return types.front().gpus == 0 ? "no GPUs" : "GPUs";
}

std::string fetch_rate(const std::vector<wire::MachineType>& types) {
  return types.front().fetch_gb_per_s == 0 ? "rate not stated" : "a rate";
}

std::string machine_list() {
  wire::Packer packer;
  packer.map(2).key("truncated").flag(true).key("hosts").list(1).map(7);
  packer.key("uid").text("host-1").key("addr").text("10.1.0.1:9000").key("build").text("m12");
  packer.key("yard").text("north").key("loaners").flag(true).key("status").text("running");
  packer.key("held_s").number(5);
  return packer.take();
}

Field listed(const char* name, Path path, Empty empty, std::string absent, std::string when_empty,
             std::function<std::string(const wire::CloudPage&)> read = {}) {
  const auto read_page = [=](const std::string& response) {
    const auto page = wire::decode_cloud_page(wire::Document::parse(response).root());
    return read ? read(page) : std::string("accepted");
  };
  return {name, in_message(machine_list, std::move(path), empty, read_page), absent, absent,
          when_empty};
}

std::string machines_in_list(const wire::CloudPage& page) {
  return std::to_string(page.machines.size()) + " machines";
}

std::string end_of_list(const wire::CloudPage& page) {
  return page.truncated ? "more pages" : "last page";
}

std::string kind_of_listed(const wire::CloudPage& page) {
  return page.machines.front().spot ? "spot" : "ordinary";
}

std::string address_of_listed(const wire::CloudPage& page) {
  return page.machines.front().addr.empty() ? "no address known" : "an address";
}

std::string age_of_listed(const wire::CloudPage& page) {
  return page.machines.front().age_s == 0 ? "age not stated" : "an age";
}

std::string provisioned(const std::string& response) {
  const auto machines = wire::decode_machine_ids(wire::Document::parse(response).root());
  return std::to_string(machines.size()) + " machines";
}

// --- workers ---------------------------------------------------------------------------------

std::string heartbeat() {
  wire::WorkerHeartbeat heartbeat{"host-1", "10.1.0.1:9000", "m12", "north", true, 3, 4, 5, 60.0,
                                  {}};
  heartbeat.tasks = {{"job-1", 0, 1, wire::TaskState::ended, wire::EndCause::done, true}};
  return wire::encode_heartbeat(heartbeat);
}

Field reported(const char* name, Path path, Empty empty, std::string absent, std::string when_empty,
               std::function<std::string(const wire::WorkerHeartbeat&)> read = {}) {
  const auto read_heartbeat = [=](const std::string& body) {
    const auto decoded = wire::decode_heartbeat(wire::Document::parse(body).root());
    return read ? read(decoded) : std::string("accepted");
  };
  return {name, in_message(heartbeat, std::move(path), empty, read_heartbeat), absent, absent,
          when_empty};
}

std::string tasks_reported(const wire::WorkerHeartbeat& heartbeat) {
  return std::to_string(heartbeat.tasks.size()) + " tasks";
}

std::string kind_reported(const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.spot ? "spot" : "ordinary";
}

std::string notice(const wire::WorkerHeartbeat& heartbeat) {
  if (!heartbeat.interruption_in_s) return "no notice";
  return "taken in " + std::to_string(static_cast<int>(*heartbeat.interruption_in_s)) + " s";
}

std::string address_reported(const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.addr.empty() ? "no address known" : "an address";
}

std::string token(const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.token == 0 ? "no token seen" : "a token";
}

std::string progress(const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.tasks.front().saved ? "saved" : "not saved";
}

std::string cause(const wire::WorkerHeartbeat& heartbeat) {
  return heartbeat.tasks.front().cause == wire::EndCause::other ? "unknown cause" : "a cause";
}

// --- state store -----------------------------------------------------------------------------

std::string stored_entry(const char* list) {
  wire::Packer packer;
  packer.map(3).key("ledger_rev").integer(9).key("truncated").flag(true).key(list).list(1).map(4);
  packer.key("key").text("elm/l/x").key("set").text("elm/l/x").key("stamp").integer(8);
  packer.key("value").map(1).key("n").integer(1);
  return packer.take();
}

std::string listing() { return stored_entry("entries"); }
std::string changes() { return stored_entry("log"); }

std::string failed_commit() {
  wire::Packer packer;
  packer.map(2).key("ledger_rev").integer(9).key("failed").list(1).text("elm/l/x");
  return packer.take();
}

Field from_store(const char* name, std::string (*message)(), Path path, Empty empty,
                 std::string absent, std::string null, std::string when_empty,
                 std::function<std::string(const wire::Object&)> read) {
  return {name,
          in_message(message, std::move(path), empty,
                     [=](const std::string& response) {
                       return read(wire::Document::parse(response).root());
                     }),
          std::move(absent), std::move(null), std::move(when_empty)};
}

std::string end_of_listing(const wire::Object& response) {
  return wire::decode_listing(response).truncated ? "more pages" : "last page";
}

std::string entries_listed(const wire::Object& response) {
  return std::to_string(wire::decode_listing(response).entries.size()) + " entries";
}

std::string value_listed(const wire::Object& response) {
  return wire::decode_listing(response).entries.front().value == wire::Packer().null().take()
             ? "the value null"
             : "a value";
}

std::string changes_watched(const wire::Object& response) {
  return std::to_string(wire::decode_changes(response).log.size()) + " changes";
}

std::string value_watched(const wire::Object& response) {
  const auto change = wire::decode_changes(response).log.front();
  if (!change.value) return "deleted";
  return *change.value == wire::Packer().null().take() ? "the value null" : "a value";
}

std::string present_revision(const wire::Object& response) {
  return "revision " + std::to_string(wire::decode_revision(response));
}

std::string failed_keys(const wire::Object& response) {
  return std::to_string(wire::decode_failed_preconditions(response).size()) + " keys";
}

// --- records ---------------------------------------------------------------------------------

Field recorded(const char* name, std::function<std::string()> record, Path path, Empty empty,
               std::string absent, std::string when_empty,
               std::function<std::string(const std::string&)> read) {
  return {name, in_message(std::move(record), std::move(path), empty, std::move(read)), absent,
          absent, when_empty};
}

std::string job_record() {
  auto job = array(1, 2);
  job.types = wire::AllowedTypes::only({"m12"});
  job.zone = "north";
  return store::encode(store::JobRecord{job, true, 5});
}

std::string types_of_record(const std::string& record) {
  const auto& types = store::decode_job(record).spec.types;
  if (types.none()) return "no type";
  return types.names() == nullptr ? "any type" : "some types";
}

/// The same after the record was read and written once more.
std::string types_after_rewrite(const std::string& record) {
  return types_of_record(store::encode(store::decode_job(record)));
}

std::string zone_of_record(const std::string& record) {
  const auto zone = store::decode_job(record).spec.zone;
  return zone ? "zone '" + *zone + "'" : "any zone";
}

std::string mark_of_record(const std::string& record) {
  return store::decode_job(record).cancelled ? "cancelled" : "not cancelled";
}

std::string types_record() {
  return store::encode(store::MachineTypesRecord{types_in(cloud_types())});
}

std::string recorded_zones(const std::string& record) {
  const auto zones = store::decode_machine_types(record).types.front().zones;
  return zones ? std::to_string(zones->size()) + " zones" : "zones not stated";
}

/// The same after the record was read and written once more.
std::string recorded_zones_after_rewrite(const std::string& record) {
  return recorded_zones(store::encode(store::decode_machine_types(record)));
}

std::string log_value() {
  return store::encode_slot(
      4, {store::pack(store::BlockEntry{"job-1", 0, {{false}, {{0, 1, "host-1"}}}}).bytes},
      {store::pack(store::MachineEntry{"host-1", true, {}}).bytes});
}

std::string entries_of_log(const std::string& record) {
  const auto slot = store::decode_slot(record);
  return std::to_string(slot.blocks.size()) + " blocks, " + std::to_string(slot.machines.size()) +
         " machines";
}

std::string final_record() {
  return store::encode(store::FinalRecord{wire::JobState::cancelled, 3});
}

std::string final_state(const std::string& record) {
  return std::string(wire::to_text(store::decode_final(record).state));
}

std::string final_tasks(const std::string& record) {
  return store::decode_final(record).tasks == 0 ? "count not known" : "a count";
}

// --- settings --------------------------------------------------------------------------------

/// Writes the text to a file for one call of `read`.
template <typename Read>
std::string with_file(const std::string& text, Read&& read) {
  const std::string path = "/tmp/elmstall-absent-" + std::to_string(getpid()) + ".txt";
  std::ofstream(path) << text;
  std::string result;
  try {
    result = read(path);
  } catch (const config::SettingsError&) {
    result = "refused";
  }
  std::remove(path.c_str());
  return result;
}

/// Settings with a line in place of another one: `absent_line` if the value is absent, `empty_line`
/// if it is empty. TOML has no null.
Field configured(const char* name, std::string line, std::string absent_line,
                 std::string empty_line, std::string absent, std::string when_empty,
                 std::function<std::string(const config::Settings&)> read) {
  const auto read_settings = [=](Given given) -> std::string {
    std::string text(kValidSettings);
    text.replace(text.find(line), line.size(), given == Given::empty ? empty_line : absent_line);
    return with_file(text,
                     [&](const std::string& path) { return read(config::load_settings(path)); });
  };
  return {name, read_settings, std::move(absent), kInexpressible, std::move(when_empty)};
}

std::string zone_of_peer(const config::Settings& settings) {
  return settings.peers.front().zone.empty() ? "may be in any zone" : "in a zone";
}

std::string zones_configured(const config::Settings& settings) {
  return std::to_string(settings.zones.size()) + " zones";
}

std::string limits_announced(const config::Settings& settings) {
  if (!settings.state_next) return "no limits announced";
  return settings.state_next->value_kb == settings.state.value_kb ? "the same limits announced"
                                                                  : "other limits announced";
}

std::string team_limit(const config::Settings& settings) {
  return sched::within_limit(*settings.team("a"), sched::need_of_task(1, 100, 1)) ? "no limit"
                                                                                  : "a limit";
}

std::string objective(const config::Settings& settings) {
  state::Job job;
  job.spec.job_class = "x";
  return placement::completion_objective_s(settings, job) ? "an objective" : "no objective";
}

std::string gang_wait(const config::Settings& settings) {
  return settings.gang_wait_s == constants::kGangWaitDefault ? "usual wait" : "another wait";
}

std::string property(Given given) {
  const std::string text = given == Given::empty ? "fleet.idle.share=\n" : "";
  return with_file(text, [](const std::string& path) -> std::string {
    return config::load_properties(path).idle_share == config::Tuning().idle_share ? "default"
                                                                                   : "a value";
  });
}

// --- messages between controllers, which have no null and no absent fields ---------------------

/// Who is known to lead after a heartbeat of a controller that does not know it.
std::string leader_of_peer(Given) {
  election::TermTracker terms;
  terms.learn(4, "node-1");
  peer::Heartbeat heartbeat;
  heartbeat.term = 4;
  const auto received = std::get<peer::Heartbeat>(peer::decode(peer::encode(heartbeat)));
  terms.learn(received.term, received.leader);
  return terms.leader();
}

/// What becomes of a forwarded heartbeat without a body.
std::string forwarded_body(Given) {
  const auto received =
      std::get<peer::ForwardedHeartbeat>(peer::decode(peer::encode(peer::ForwardedHeartbeat{})));
  try {
    (void)wire::decode_heartbeat(wire::Document::parse(received.body).root());
    return "accepted";
  } catch (const wire::DecodeError&) {
    return kMalformed;
  }
}

// --- the test --------------------------------------------------------------------------------

const std::vector<Field>& fields() {
  static const std::string no_type(api::to_text(api::RejectionReason::no_allowed_machine_type));
  static const std::string no_fit(api::to_text(api::RejectionReason::no_fitting_machine_type));
  static const auto submitted_to = [](const std::vector<wire::MachineType>& types) {
    return admission(submission(), types);
  };
  static const std::vector<Field> all{
      submitted("SubmissionTypes", "builds", Empty::list, "accepted", no_type),
      submitted("SubmissionZone", "yard", Empty::text, "accepted", no_fit),
      submitted("SubmissionTeam", "owner", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionClass", "lane", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionId", "uid", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionSpot", "loaners", Empty::flag, kMalformed, "accepted"),
      {"SubmissionDeadline", in_message(submission, {"due_s"}, Empty::number, deadline),
       "no deadline", "no deadline", "due after 0 s"},

      offered("MachineTypeZones", "yards", Empty::list, "accepted", no_fit, submitted_to),
      offered("MachineTypeName", "name", Empty::text, kMalformed, kMalformed, submitted_to),
      offered("MachineTypeBootTime", "ready_s", Empty::number, "usual boot time", "usual boot time",
              booting),
      offered("MachineTypeGpus", "cards", Empty::number, "no GPUs", "no GPUs", gpus),
      offered("MachineTypeFetchRate", "fetch_gb_per_s", Empty::number, "rate not stated",
              "rate not stated", fetch_rate),
      listed("ListedMachines", {"hosts"}, Empty::list, kMalformed, "0 machines", machines_in_list),
      listed("ListEnd", {"truncated"}, Empty::flag, kMalformed, "last page", end_of_list),
      listed("ListedId", {"hosts", "uid"}, Empty::text, kMalformed, kMalformed),
      listed("ListedType", {"hosts", "build"}, Empty::text, kMalformed, kMalformed),
      listed("ListedZone", {"hosts", "yard"}, Empty::text, kMalformed, kMalformed),
      listed("ListedKind", {"hosts", "loaners"}, Empty::flag, kMalformed, "ordinary",
             kind_of_listed),
      listed("ListedAddress", {"hosts", "addr"}, Empty::text, "no address known",
             "no address known", address_of_listed),
      listed("ListedAge", {"hosts", "held_s"}, Empty::number, "age not stated", "age not stated",
             age_of_listed),
      {"ProvisionedMachines",
       in_message([] { return wire::encode_machine_ids({"host-1"}); }, {"hosts"}, Empty::list,
                  provisioned),
       kMalformed, kMalformed, "0 machines"},

      reported("HeartbeatTasks", {"shards"}, Empty::list, kMalformed, "0 tasks", tasks_reported),
      reported("HeartbeatKind", {"loaners"}, Empty::flag, kMalformed, "ordinary", kind_reported),
      reported("HeartbeatMachine", {"host"}, Empty::text, kMalformed, kMalformed),
      reported("HeartbeatType", {"build"}, Empty::text, kMalformed, kMalformed),
      reported("HeartbeatZone", {"yard"}, Empty::text, kMalformed, kMalformed),
      reported("HeartbeatNotice", {"recall_s"}, Empty::number, "no notice", "taken in 0 s", notice),
      reported("HeartbeatAddress", {"addr"}, Empty::text, "no address known", "no address known",
               address_reported),
      reported("HeartbeatToken", {"baton"}, Empty::count, "no token seen", "no token seen", token),
      reported("HeartbeatProgress", {"shards", "kept"}, Empty::flag, "not saved", "not saved",
               progress),
      reported("HeartbeatCause", {"shards", "cause"}, Empty::text, "unknown cause", "unknown cause",
               cause),

      from_store("ListingEnd", listing, {"truncated"}, Empty::flag, kMalformed, kMalformed,
                 "last page", end_of_listing),
      from_store("ListingEntries", listing, {"entries"}, Empty::list, kMalformed, kMalformed,
                 "0 entries", entries_listed),
      from_store("ListingValue", listing, {"entries", "value"}, Empty::map, kMalformed,
                 "the value null", "a value", value_listed),
      from_store("WatchChanges", changes, {"log"}, Empty::list, kMalformed, kMalformed, "0 changes",
                 changes_watched),
      from_store("WatchValue", changes, {"log", "value"}, Empty::map, kMalformed, "the value null",
                 "a value", value_watched),
      from_store("StoreRevision", failed_commit, {"ledger_rev"}, Empty::list, kMalformed,
                 kMalformed, kMalformed, present_revision),
      from_store("FailedPreconditions", failed_commit, {"failed"}, Empty::list, kMalformed,
                 kMalformed, kMalformed, failed_keys),

      recorded("RecordedTypes", job_record, {"spec", "builds"}, Empty::list, "any type", "no type",
               types_of_record),
      recorded("RecordedTypesRewritten", job_record, {"spec", "builds"}, Empty::list, "any type",
               "no type", types_after_rewrite),
      recorded("RecordedZone", job_record, {"spec", "yard"}, Empty::text, "any zone", "zone ''",
               zone_of_record),
      recorded("RecordedCancelMark", job_record, {"cancelled"}, Empty::flag, kMalformed,
               "not cancelled", mark_of_record),
      recorded("RecordedMachineTypeZones", types_record, {"builds", "yards"}, Empty::list,
               "zones not stated", "0 zones", recorded_zones),
      recorded("RecordedMachineTypeZonesRewritten", types_record, {"builds", "yards"}, Empty::list,
               "zones not stated", "0 zones", recorded_zones_after_rewrite),
      // An earlier version wrote an empty list also where the cloud had stated no zones.
      recorded("MachineTypeZonesOfAnEarlierVersion", cloud_types, {"builds", "yards"}, Empty::list,
               "zones not stated", "zones not stated", recorded_zones),
      recorded("LogBlocks", log_value, {"b"}, Empty::list, kMalformed, "0 blocks, 1 machines",
               entries_of_log),
      recorded("LogMachines", log_value, {"h"}, Empty::list, kMalformed, "1 blocks, 0 machines",
               entries_of_log),
      recorded("FinalState", final_record, {"state"}, Empty::text, kMalformed, kMalformed,
               final_state),
      recorded("FinalTasks", final_record, {"tasks"}, Empty::count, "count not known",
               "count not known", final_tasks),

      configured("PeerZone", "area = \"west\"\n", "", "area = \"\"\n", "may be in any zone",
                 "may be in any zone", zone_of_peer),
      configured("Zones", "zones = [\"east\", \"west\"]\n", "", "zones = []\n", "refused",
                 "refused", zones_configured),
      configured("ZoneName", "\"east\", ", "", "\"\", ", "1 zones", "refused", zones_configured),
      configured("AnnouncedLimits", "txn_ops = 8\n", "txn_ops = 8\n",
                 "txn_ops = 8\n[deployment.state.next]\n", "no limits announced",
                 "the same limits announced", limits_announced),
      configured("TeamLimit", "gpus_max = 8.0\n", "", "gpus_max = 0.0\n", "no limit", "no limit",
                 team_limit),
      configured("Objective", "kind = \"wait\"\nclass = \"x\"\nwithin_s = 10.0\n",
                 "kind = \"finished\"\nclass = \"x\"\n",
                 "kind = \"finished\"\nclass = \"x\"\nwithin_s = 0.0\n", "no objective",
                 "no objective", objective),
      configured("GangWait", "cancel_s = 40.0\n", "cancel_s = 40.0\n",
                 "cancel_s = 40.0\ngang_wait_s = 0.0\n", "usual wait", "refused", gang_wait),
      {"Property", property, "default", kInexpressible, "refused"},

      {"PeerLeader", leader_of_peer, kInexpressible, kInexpressible, "node-1"},
      {"PeerForwardedBody", forwarded_body, kInexpressible, kInexpressible, kMalformed},
  };
  return all;
}

class AbsentValues : public ::testing::TestWithParam<Field> {};

/// Guards against `wrong_place` and `ran_twice` by a value that was taken for another one: an empty
/// list of allowed machine types once allowed every type.
TEST_P(AbsentValues, NullAbsentAndEmptyKeepTheirMeanings) {
  const auto& field = GetParam();
  const auto expect = [&](Given given, const std::string& expected, const char* value) {
    if (expected == kInexpressible) return;
    EXPECT_EQ(field.read(given), expected) << value;
  };
  expect(Given::absent, field.absent, "absent");
  expect(Given::null, field.null, "null");
  expect(Given::empty, field.empty, "empty");
}

INSTANTIATE_TEST_SUITE_P(Fields, AbsentValues, ::testing::ValuesIn(fields()),
                         [](const auto& field) { return std::string(field.param.name); });

}  // namespace
}  // namespace elmstall::test
