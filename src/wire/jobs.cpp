#include "wire/jobs.hpp"

#include <algorithm>
#include <array>

#include "config/constants.hpp"
#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr EnumNames<JobKind, 3> kKinds{
    {{"batch", JobKind::array}, {"daemon", JobKind::service}, {"group", JobKind::gang}}};
constexpr EnumNames<Priority, 4> kPriorities{{{"critical", Priority::critical},
                                              {"high", Priority::high},
                                              {"normal", Priority::normal},
                                              {"idle", Priority::idle}}};
constexpr EnumNames<JobState, 4> kJobStates{{{"queued", JobState::queued},
                                             {"running", JobState::running},
                                             {"done", JobState::done},
                                             {"withdrawn", JobState::cancelled}}};

/// Resources that each task needs, in the order in which they are written.
constexpr std::array<AmountField<JobSpec>, 3> kTaskResources{{
    {"cores", &JobSpec::cpus},
    {"cards", &JobSpec::gpus},
    {"ram_gb", &JobSpec::memory_gb},
}};
/// Sizes and times of the image and of the run, in the order in which they are written.
constexpr std::array<AmountField<JobSpec>, 4> kRunAmounts{{
    {"pull_gb", &JobSpec::image_gb},
    {"expect_s", &JobSpec::expect_s},
    {"mark_every_s", &JobSpec::checkpoint_every_s},
    {"mark_s", &JobSpec::checkpoint_s},
}};
constexpr std::size_t kJobFields = 20;

std::uint32_t decode_task_count(const Fields& fields) {
  const auto tasks = fields.integer("shards");
  if (tasks == 0 || tasks > constants::kMaxTasks)
    throw DecodeError("field 'shards' is out of range");
  return static_cast<std::uint32_t>(tasks);
}

AllowedTypes decode_allowed_types(const Fields& fields) {
  const auto* names = fields.find("builds");
  return names == nullptr ? AllowedTypes::any() : AllowedTypes::only(texts(names, "builds"));
}

void pack_allowed_types(Packer& packer, const AllowedTypes& types) {
  packer.key("builds");
  if (const auto* names = types.names()) {
    packer.texts(*names);
  } else {
    packer.null();
  }
}

std::string decode_image(const Fields& fields) {
  auto image = fields.text("bundle");
  if (image.size() > constants::kMaxNameBytes) throw DecodeError("field 'bundle' is too long");
  return image;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view prefix = "job-";
  if (id.size() <= prefix.size() || id.size() > constants::kMaxJobIdBytes) return false;
  if (!id.starts_with(prefix)) return false;
  return std::all_of(id.begin() + prefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::string decode_job_id(const Object& object) {
  auto id = Fields(object).text("uid");
  if (!valid_job_id(id)) throw DecodeError("field 'uid' is not a job id");
  return id;
}

JobSpec decode_job(const Object& object) {
  const Fields fields(object);
  JobSpec job;
  job.id = decode_job_id(object);
  job.job_class = decode_name(fields, "lane");
  job.team = decode_name(fields, "owner");
  job.kind = parse_enum(kKinds, fields.text("shape"), "shape");
  job.priority = parse_enum(kPriorities, fields.text("rank"), "rank");
  job.tasks = decode_task_count(fields);
  decode_amounts(fields, kTaskResources, job);
  job.types = decode_allowed_types(fields);
  job.zone = fields.maybe_text("yard");
  job.together = fields.flag("together");
  job.spread = fields.flag("scatter");
  job.spot = fields.flag("loaners");
  job.image = decode_image(fields);
  decode_amounts(fields, kRunAmounts, job);
  if (fields.find("due_s") != nullptr) job.due_s = amount(fields, "due_s");
  return job;
}

void pack_job(Packer& packer, const JobSpec& job) {
  packer.map(kJobFields);
  packer.key("uid").text(job.id);
  packer.key("lane").text(job.job_class);
  packer.key("owner").text(job.team);
  packer.key("shape").text(name_of(kKinds, job.kind));
  packer.key("rank").text(name_of(kPriorities, job.priority));
  packer.key("shards").integer(job.tasks);
  pack_amounts(packer, kTaskResources, job);
  pack_allowed_types(packer, job.types);
  packer.key("yard").text_or_null(job.zone);
  packer.key("together").flag(job.together);
  packer.key("scatter").flag(job.spread);
  packer.key("loaners").flag(job.spot);
  packer.key("bundle").text(job.image);
  pack_amounts(packer, kRunAmounts, job);
  packer.key("due_s").number_or_null(job.due_s);
}

std::string_view to_text(JobState state) { return name_of(kJobStates, state); }

JobState decode_job_state(const Fields& fields, std::string_view key) {
  return parse_enum(kJobStates, fields.text(key), key);
}

std::string encode_status(const JobStatus& status, TaskCounts counts) {
  const bool with_counts = counts == TaskCounts::included;
  Packer packer;
  packer.map(with_counts ? 4 : 2);
  packer.key("uid").text(status.id);
  packer.key("status").text(to_text(status.state));
  if (with_counts) {
    packer.key("done").integer(status.done);
    packer.key("running").integer(status.running);
  }
  return packer.take();
}

JobStatus decode_status(const Object& object) {
  const Fields fields(object);
  return {fields.text("uid"), decode_job_state(fields, "status"), fields.integer_or("done", 0),
          fields.integer_or("running", 0)};
}

}  // namespace elmstall::wire
