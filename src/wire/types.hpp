// The messages of the protocol as value types. The wire's own field names
// appear only in this package.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// A gang is an array whose tasks run at the same time. The protocol page
/// names only the other two, but the platform's own trial run submits gangs.
enum class JobKind : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { idle, normal, high, critical };
enum class JobState : std::uint8_t { queued, running, done, cancelled };

/// What a user asks for.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::vector<std::string> types;  ///< allowed machine types; empty: any
  std::optional<std::string> zone;
  bool together = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  double expect_s = 0;
  double checkpoint_every_s = 0;
  double save_s = 0;
  std::optional<double> due_s;
};

[[nodiscard]] bool valid_job_id(std::string_view id);
/// Throws Malformed.
/// The id alone, of a submission that may be malformed otherwise.
[[nodiscard]] std::string decode_job_id(const Object& object);
[[nodiscard]] JobSpec decode_job(const Object& object);
void pack_job(Packer& packer, const JobSpec& job);

struct JobStatus {
  std::string id;
  JobState state = JobState::queued;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};
[[nodiscard]] std::string_view to_text(JobState state);
[[nodiscard]] std::string encode_status(const JobStatus& status, bool with_counts);
[[nodiscard]] JobStatus decode_status(const Object& object);

enum class TaskState : std::uint8_t { fetching, running, saving, ended, other };
enum class EndCause : std::uint8_t { none, done, stopped, error, no_room, in_use, unknown, other };

/// One task as a worker reports it.
struct TaskReport {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  EndCause cause = EndCause::none;
  bool saved = false;
};

struct Report {
  std::string host;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t session = 0;
  std::uint64_t tick = 0;
  std::uint64_t token = 0;
  std::optional<double> recall_s;
  std::vector<TaskReport> tasks;
};
[[nodiscard]] Report decode_report(const Object& object);
[[nodiscard]] std::string encode_report(const Report& report);

enum class Verb : std::uint8_t { run, stop, clear };
struct Order {
  Verb verb = Verb::run;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double wind_down_s = 0;
};
[[nodiscard]] std::string encode_orders(std::uint64_t token, const std::vector<Order>& orders);
/// A command sent straight to a worker; void unless its session is this one.
[[nodiscard]] std::string encode_direct_orders(std::uint64_t token, std::uint64_t session,
                                               const std::vector<Order>& orders);
/// What a worker reads from the answer to its report.
struct Orders {
  std::uint64_t token = 0;
  std::uint64_t session = 0;  ///< of direct orders
  std::vector<Order> orders;
};
[[nodiscard]] Orders decode_orders(const Object& object);
[[nodiscard]] std::string encode_redirect(std::string_view node);

[[nodiscard]] std::string task_name(std::string_view job, std::uint32_t index);

// --- cloud -------------------------------------------------------------------
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double ready_s = 0;
  std::vector<std::string> zones;
};
[[nodiscard]] std::vector<MachineType> decode_machine_types(const Object& object);
[[nodiscard]] std::string encode_machine_types(const std::vector<MachineType>& machine_types);

struct CloudHost {
  enum class State : std::uint8_t { booting, running, failed };
  std::string id;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  State state = State::booting;
  double age_s = 0;
};
struct CloudPage {
  std::vector<CloudHost> hosts;
  bool truncated = false;
};
[[nodiscard]] CloudPage decode_cloud_page(const Object& object);
[[nodiscard]] std::string encode_rent(std::string_view name, std::string_view type,
                                      std::string_view zone, bool spot, int count);
[[nodiscard]] std::string encode_host_names(const std::vector<std::string>& hosts);
[[nodiscard]] std::vector<std::string> decode_host_names(const Object& object);

// --- state service -------------------------------------------------------------
struct Entry {
  std::string key;
  std::string value;  ///< packed
  std::uint64_t stamp = 0;
};
struct Listing {
  std::vector<Entry> entries;
  bool truncated = false;
  std::uint64_t revision = 0;
};
struct Change {
  std::string key;
  std::optional<std::string> value;  ///< packed; nothing: deleted
  std::uint64_t stamp = 0;
};
struct Changes {
  std::uint64_t revision = 0;
  std::vector<Change> log;
};
struct Guard {
  std::string key;
  std::uint64_t stamp = 0;
};
struct Write {
  std::string key;
  std::optional<std::string> value;  ///< packed; nothing: delete
  std::uint64_t lease = 0;           ///< 0: not attached to a lease
};
struct Txn {
  std::vector<Guard> guards;
  std::vector<Write> writes;
};
[[nodiscard]] Entry decode_entry(const Object& object);
[[nodiscard]] Listing decode_listing(const Object& object);
[[nodiscard]] Changes decode_changes(const Object& object);
[[nodiscard]] std::string encode_txn(const Txn& txn);

}  // namespace elmstall::wire
