#include "config/properties.hpp"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <fstream>

#include "config/settings.hpp"

namespace elmstall::config {
namespace {

/// Appends all keys below the prefix to the list, as they are written in the file, with dots. The
/// library splits keys at the dots into a tree.
void collect_keys(const Poco::Util::AbstractConfiguration& source, const std::string& prefix,
                  std::vector<std::string>& keys) {
  Poco::Util::AbstractConfiguration::Keys names;
  source.keys(prefix, names);
  if (names.empty() && !prefix.empty()) keys.push_back(prefix);
  for (const auto& name : names) {
    std::string key = prefix;
    if (!key.empty()) key += '.';
    collect_keys(source, key.append(name), keys);
  }
}

/// The number without trailing zeros.
std::string format_number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

using PropertyFile = Poco::AutoPtr<Poco::Util::PropertyFileConfiguration>;

PropertyFile open_file(const std::filesystem::path& file) {
  if (!std::ifstream(file)) throw SettingsError(file.string() + ": cannot be read");
  try {
    return {new Poco::Util::PropertyFileConfiguration(file.string())};
  } catch (const Poco::Exception& error) {
    throw SettingsError(file.string() + ": " + error.displayText());
  }
}

/// The property with this key. Throws SettingsError, which begins with `where`, if there is none.
const Property& find_property(const std::string& key, const std::string& where) {
  const auto& known = properties();
  const auto found = std::find_if(known.begin(), known.end(),
                                  [&](const Property& property) { return property.key == key; });
  if (found == known.end()) throw SettingsError(where + ": there is no such property");
  return *found;
}

/// Reads the property's value. Throws SettingsError, which begins with `where`, if the text is no
/// number or the number is out of range.
double parse_value(const Property& property, const std::string& text, const std::string& where) {
  double value = 0;
  if (!Poco::NumberParser::tryParseFloat(text, value))
    throw SettingsError(where + ": must be a number");
  // Written this way so that NaN is rejected as well.
  if (!(value >= property.low && value <= property.high)) {
    throw SettingsError(where + ": must lie between " + format_number(property.low) + " and " +
                        format_number(property.high));
  }
  return value;
}

}  // namespace

const std::vector<Property>& properties() {
  static const std::vector<Property> all{
      {"sched.threshold.tasks", "tasks", 0, 1000, &Tuning::threshold_tasks,
       "excess of a list's anticipated wait over its group's mean above which it moves tasks"},
      {"sched.small.first", "share", 0, 100, &Tuning::remaining_work_weight,
       "weight of a job's remaining work in the order of the lists"},
      {"fleet.idle.share", "share of ready_s", 0, 100, &Tuning::idle_share,
       "how long an idle machine is kept"},
      {"fleet.headroom.machines", "machines", 0, 1000, &Tuning::headroom_machines,
       "capacity kept free for services, fixed part"},
      {"fleet.headroom.share", "share", 0, 10, &Tuning::headroom_share,
       "capacity kept free for services, part that grows with the ordinary work"},
      {"fleet.foresight", "share", 0, 10, &Tuning::forecast_share,
       "share of the forecast change of demand for which machines are rented in advance"},
      {"users.requests.max", "requests", constants::kMinRequestLimit, 100000, &Tuning::requests_max,
       "upper bound of the adaptive limit of requests in progress"},
  };
  return all;
}

Tuning load_properties(const std::filesystem::path& file) {
  const auto source = open_file(file);
  std::vector<std::string> keys;
  collect_keys(*source, "", keys);
  Tuning tuning;
  for (const auto& key : keys) {
    const std::string where = file.string() + ": " + key;
    const auto& property = find_property(key, where);
    tuning.*(property.field) = parse_value(property, source->getString(key), where);
  }
  return tuning;
}

}  // namespace elmstall::config
