/// \file
/// Null, absent and empty are different values. One test over all fields of messages, records and
/// settings that may be null, absent or empty, with what the program must make of each.
#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "api/admission.hpp"
#include "store/records.hpp"
#include "support/jobs.hpp"

namespace elmstall::test {
namespace {

/// What the field under test holds.
enum class Given : std::uint8_t { absent, null, empty };

/// The empty value of a field's type.
enum class Empty : std::uint8_t { text, list, number, flag, map };

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

// --- the test --------------------------------------------------------------------------------

const std::vector<Field>& fields() {
  static const std::string no_type(api::to_text(api::RejectionReason::no_allowed_machine_type));
  static const std::string no_fit(api::to_text(api::RejectionReason::no_fitting_machine_type));
  static const std::vector<Field> all{
      submitted("SubmissionTypes", "builds", Empty::list, "accepted", no_type),
      submitted("SubmissionZone", "yard", Empty::text, "accepted", no_fit),
      submitted("SubmissionTeam", "owner", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionClass", "lane", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionId", "uid", Empty::text, kMalformed, kMalformed),
      submitted("SubmissionSpot", "loaners", Empty::flag, kMalformed, "accepted"),
      {"SubmissionDeadline", in_message(submission, {"due_s"}, Empty::number, deadline),
       "no deadline", "no deadline", "due after 0 s"},

      recorded("RecordedTypes", job_record, {"spec", "builds"}, Empty::list, "any type", "no type",
               types_of_record),
      recorded("RecordedTypesRewritten", job_record, {"spec", "builds"}, Empty::list, "any type",
               "no type", types_after_rewrite),
      recorded("RecordedZone", job_record, {"spec", "yard"}, Empty::text, "any zone", "zone ''",
               zone_of_record),
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
