#include "operator_file.h"

#include "conversion.h"
#include "inventory/inventory.h"
#include "net/stream.h"
#include "parsed_operator_file.h"

#include <optional>
#include <utility>
#include <vector>

namespace gorsebeam::config {
namespace {

using google::protobuf::RepeatedPtrField;
using settings::FileError;
using OptionalFileError = std::optional<FileError>;

/// Locates `error`, whose path is relative to `field` of the gateway message.
OptionalFileError locate_under(const ParsedOperatorFile& file, const char* field,
                               std::optional<ValidationError> error) {
  if (!error)
    return std::nullopt;
  error->path.insert(error->path.begin(), {field, -1});
  return file.locate(*error);
}

ClassIndexes collect_named_classes(const pb::Contracts& contracts) {
  ClassIndexes classes;
  for (const pb::Team& team : contracts.team())
    for (const pb::ServiceClass& service_class : team.class_())
      classes.emplace(service_class.name(), classes.size());
  return classes;
}

OptionalFileError validate_mongo_frontend(const ParsedOperatorFile& file) {
  const pb::Gateway& gateway = file.gateway();
  if (!gateway.has_mongo())
    return std::nullopt;
  const std::string& address = gateway.mongo().listen();
  if (net::parse_address(address, 0))
    return std::nullopt;
  return file.locate(
      {{{"mongo", -1}, {"listen", -1}},
       "'" + address + "' is not a numeric address and port; write it as 127.0.0.1:27017"});
}

/// Appends the inventory of one frontend to `members` if the file names an inventory for it.
OptionalFileError read_frontend_inventory(const ParsedOperatorFile& file,
                                          const std::string& inventory, const char* frontend,
                                          RepeatedPtrField<pb::Member>& members,
                                          InventoryLayouts& layouts) {
  if (inventory.empty())
    return std::nullopt;
  if (!members.empty())
    return file.locate(
        {{{frontend, -1}, {"inventory", -1}},
         "cannot be combined with a list of members for the same frontend; keep one of them"});
  const std::string path = file.resolve_path(inventory);
  auto read = inventory::read_inventory(path);
  if (!read)
    return read.error();
  append_members(read.value().endpoints, members);
  layouts[path] = std::move(read.value().layout);
  return std::nullopt;
}

OptionalFileError read_inventories(const ParsedOperatorFile& file, OperatorFile& content) {
  const pb::Gateway& gateway = file.gateway();
  pb::Members& members = content.members;
  if (auto error = read_frontend_inventory(file, gateway.postgres().inventory(), "postgres",
                                           *members.mutable_postgres(), content.inventories))
    return error;
  return read_frontend_inventory(file, gateway.mongo().inventory(), "mongo",
                                 *members.mutable_mongo(), content.inventories);
}

OptionalFileError validate_resources(const ParsedOperatorFile& file, const OperatorFile& content) {
  const pb::Gateway& gateway = content.gateway;
  const ValidationContext& context = content.context;
  if (auto error = locate_under(file, "contracts", validate_resource(gateway.contracts(), context)))
    return error;
  if (auto error = locate_under(file, "members", validate_resource(content.members, context)))
    return error;
  if (auto error = locate_under(file, "limits", validate_resource(gateway.limits(), context)))
    return error;
  return locate_under(file, "contracts",
                      validate_group_references(gateway.contracts(), content.members, context));
}

OptionalFileError validate_control_settings(const ParsedOperatorFile& file) {
  const pb::Gateway& gateway = file.gateway();
  if (gateway.has_control_service())
    if (auto error = locate_under(file, "control_service",
                                  validate_control_service(gateway.control_service())))
      return error;
  const std::string& state_folder = gateway.state_folder();
  if (!state_folder.empty() && state_folder[0] != '/')
    return file.locate({{{"state_folder", -1}},
                        "'" + state_folder + "' is not an absolute path; start it with /"});
  return std::nullopt;
}

}  // namespace

// Reading stops at the first error, so the order of the steps decides which error is reported.
common::Result<OperatorFile, FileError> read_operator_file(const std::string& path,
                                                           const ClassIndexes* classes) {
  const auto parsed = ParsedOperatorFile::parse(path);
  if (!parsed)
    return parsed.error();
  const ParsedOperatorFile& file = parsed.value();
  OperatorFile content;
  content.gateway = file.gateway();
  content.members = file.gateway().members();
  content.context.mongo_enabled = file.gateway().has_mongo();
  content.context.classes = classes ? *classes : collect_named_classes(file.gateway().contracts());
  if (auto error = validate_mongo_frontend(file))
    return *std::move(error);
  if (auto error = read_inventories(file, content))
    return *std::move(error);
  content.context.postgres_members_configured = !content.members.postgres().empty();
  if (auto error = validate_resources(file, content))
    return *std::move(error);
  if (auto error = validate_control_settings(file))
    return *std::move(error);
  return content;
}

std::vector<std::string> inventory_paths(const std::string& path) {
  const auto parsed = ParsedOperatorFile::parse(path);
  std::vector<std::string> paths;
  if (!parsed)
    return paths;
  const pb::Gateway& gateway = parsed.value().gateway();
  for (const std::string& inventory : {gateway.postgres().inventory(), gateway.mongo().inventory()})
    if (!inventory.empty())
      paths.push_back(parsed.value().resolve_path(inventory));
  return paths;
}

}  // namespace gorsebeam::config
