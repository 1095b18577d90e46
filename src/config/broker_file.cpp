#include "broker_file.h"

#include "net/stream.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace gorsebeam::config {
namespace {

constexpr Nanos kMs = 1'000'000;

class File {
public:
  File(const std::string& path, settings::Profile& profile) : path_(path), profile_(profile) {}

  BrokerFile read(const YAML::Node& root) {
    only(root, "the file", {"mongo", "postgres", "teams"});
    BrokerFile file;
    file.contracts.classes = profile_.classes;
    if (const YAML::Node mongo = root["mongo"]) {
      only(mongo, "mongo", {"listen", "inventory"});
      file.mongo_listen = need(mongo, "listen");
      if (!net::parse_address(file.mongo_listen, 0))
        wrong(mongo["listen"], "listen", "is no numeric address and port");
      file.mongo_inventory = beside(need(mongo, "inventory"));
    }
    if (const YAML::Node postgres = root["postgres"]) {
      only(postgres, "postgres", {"inventory"});
      file.postgres_inventory = beside(need(postgres, "inventory"));
    }
    file.fixed = file.mongo_listen + '\n' + YAML::Dump(root["teams"]);
    if (const YAML::Node teams = root["teams"]) {
      map(teams, "teams");
      for (const auto& entry : teams) team(scalar(entry.first, "teams"), entry.second, file.contracts);
    }
    return file;
  }

  [[noreturn]] void wrong(const YAML::Node& node, const std::string& field, const std::string& what) const {
    wrong_at(node.Mark().line, field, what);
  }
  [[noreturn]] void wrong_at(int line, const std::string& field, const std::string& what) const {
    throw settings::field_error(path_, static_cast<std::size_t>(std::max(line, 0)) + 1, field, what);
  }

private:
  void map(const YAML::Node& node, const std::string& field) const {
    if (!node.IsMap()) wrong(node, field, "is not a map");
  }

  void only(const YAML::Node& node, const std::string& field,
            std::initializer_list<const char*> names) const {
    map(node, field);
    for (const auto& entry : node) {
      const std::string name = scalar(entry.first, field);
      if (std::find(names.begin(), names.end(), name) == names.end())
        wrong(entry.first, name, "is not known here");
    }
  }

  std::string scalar(const YAML::Node& node, const std::string& field) const {
    if (!node.IsScalar()) wrong(node, field, "is not a plain value");
    return node.Scalar();
  }

  std::string need(const YAML::Node& node, const char* field) const {
    if (!node[field]) wrong(node, field, "is missing");
    return scalar(node[field], field);
  }

  std::string beside(const std::string& name) const { // a path is meant from this file's folder
    const std::size_t slash = path_.rfind('/');
    return name.empty() || name[0] == '/' || slash == std::string::npos ? name
                                                                        : path_.substr(0, slash + 1) + name;
  }

  double number(const YAML::Node& node, const char* field, double least, double most) const {
    double value = 0;
    const std::string text = scalar(node[field], field);
    try {
      value = node[field].as<double>();
    } catch (const YAML::Exception&) { wrong(node[field], field, "'" + text + "' is no number"); }
    if (!std::isfinite(value) || value < least || value > most)
      wrong(node[field], field, "'" + text + "' is out of range");
    return value;
  }

  void team(const std::string& name, const YAML::Node& node, broker::Contracts& contracts) {
    only(node, name, {"budget", "classes"});
    broker::Contract& contract = contracts.teams[name];
    if (const YAML::Node budget = node["budget"]) {
      only(budget, "budget", {"per_second", "burst"});
      if (!budget["per_second"]) wrong(budget, "per_second", "is missing");
      Tenant tenant;
      tenant.name = name;
      tenant.budget = number(budget, "per_second", 0.001, 1e6);
      tenant.burst = budget["burst"] ? number(budget, "burst", 1, 1e6) : std::max(1.0, tenant.budget);
      contract.tenant = profile_.settings.tenants.size();
      profile_.settings.tenants.push_back(std::move(tenant));
    }
    if (!node["classes"]) wrong(node, "classes", "is missing");
    map(node["classes"], "classes");
    for (const auto& entry : node["classes"]) {
      const std::string service = scalar(entry.first, "classes");
      const auto found = profile_.classes.find(service);
      if (found == profile_.classes.end()) wrong(entry.first, service, "is no class of the settings");
      broker::ClassTerms& terms = contract.classes[found->second];
      if (entry.second.IsNull()) continue;
      only(entry.second, service, {"deadline_ms", "attempts"});
      if (entry.second["deadline_ms"])
        terms.deadline = static_cast<Nanos>(number(entry.second, "deadline_ms", 1, 3.6e6) * kMs);
      if (entry.second["attempts"]) {
        const double attempts = number(entry.second, "attempts", 1, 100);
        if (std::floor(attempts) != attempts)
          wrong(entry.second["attempts"], "attempts", "is no whole number");
        terms.attempts = static_cast<std::uint32_t>(attempts);
      }
    }
  }

  const std::string& path_;
  settings::Profile& profile_;
};

} // namespace

BrokerFile read_broker_file(const std::string& path, settings::Profile& profile) {
  File file(path, profile);
  try {
    return file.read(YAML::LoadFile(path));
  } catch (const YAML::BadFile&) {
    throw settings::FormatError(path + ": cannot be read");
  } catch (const YAML::Exception& error) { file.wrong_at(error.mark.line, "yaml", error.msg); }
}

} // namespace gorsebeam::config
