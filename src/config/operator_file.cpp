#include "operator_file.h"

#include "inventory/inventory.h"
#include "net/stream.h"
#include "settings/json_reader.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>

namespace gorsebeam::config {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;
using settings::FormatError;

// The first complaint of the parser.
class Collector : public google::protobuf::io::ErrorCollector {
public:
  void AddError(int line, int, const std::string& message) override {
    if (!text.empty())
      return;
    at = line;
    text = message;
  }

  int at = 0;
  std::string text;
};

std::string read_text(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw FormatError(path + ": cannot be read; give a file that can");
  return {std::istreambuf_iterator<char>(file), {}};
}

// A field's name from the parser's message, where it quotes one.
std::string quoted(const std::string& message) {
  const std::size_t close = message.rfind('"');
  const std::size_t open =
      close == std::string::npos || close == 0 ? close : message.rfind('"', close - 1);
  return open == std::string::npos ? "text" : message.substr(open + 1, close - open - 1);
}

class Reading {
public:
  explicit Reading(const std::string& path) : path_(path), text_(read_text(path)) {
    TextFormat::Parser parser;
    Collector complaints;
    parser.RecordErrorsTo(&complaints);
    parser.WriteLocationsTo(&places_);
    if (!parser.ParseFromString(text_, &gateway)) {
      const std::string what = complaints.text.empty() ? "cannot be read" : complaints.text;
      throw settings::field_error(
          path, static_cast<std::size_t>(std::max(complaints.at, 0)) + 1, quoted(what),
          "is not as the schema has it: " + what + "; see schema/gorsebeam/config/v1");
    }
  }

  // `from`: the field of the file that the fault's path starts at.
  [[noreturn]] void wrong(const char* from, Fault fault) const {
    if (*from)
      fault.at.insert(fault.at.begin(), {from, -1});
    const TextFormat::ParseInfoTree* tree = &places_;
    const google::protobuf::Descriptor* type = gateway.GetDescriptor();
    int line = 0;
    std::string field = fault.at.empty() ? "file" : fault.at.back().first;
    for (const auto& [name, index] : fault.at) {
      const FieldDescriptor* step = type ? type->FindFieldByName(name) : nullptr;
      if (!tree || !step)
        break;
      const auto place = tree->GetLocation(step, step->is_repeated() ? std::max(index, 0) : -1);
      if (place.line >= 0)
        line = place.line;
      type = step->message_type();
      tree = type ? tree->GetTreeForNested(step, step->is_repeated() ? std::max(index, 0) : -1)
                  : nullptr;
    }
    throw settings::field_error(path_, static_cast<std::size_t>(line) + 1, field, fault.what);
  }

  std::string beside(const std::string& name) const {  // a path is meant from this file's folder
    const std::size_t slash = path_.rfind('/');
    return name.empty() || name[0] == '/' || slash == std::string::npos
               ? name
               : path_.substr(0, slash + 1) + name;
  }

  const std::string& text() const { return text_; }

  const std::string& path() const { return path_; }

  pb::Gateway gateway;

private:
  std::string path_, text_;
  TextFormat::ParseInfoTree places_;
};

using Reporter = google::protobuf::util::MessageDifferencer::Reporter;
using Fields = std::vector<google::protobuf::util::MessageDifferencer::SpecificField>;

std::string name_of(const Message& message) {
  const FieldDescriptor* name = message.GetDescriptor()->FindFieldByName("name");
  return name ? message.GetReflection()->GetString(message, name) : "";
}

// Paths by the names that operators know.
class Differences : public Reporter {
public:
  Differences(const Message& before, const Message& after) : before_(before), after_(after) {}

  std::vector<std::string> lines;

  // What is handed over is the innermost message; the paths start at the roots.
  void ReportAdded(const Message&, const Message&, const Fields& path) override {
    lines.push_back(place(after_, path, false) + ": added" + value(after_, path, false));
  }

  void ReportDeleted(const Message&, const Message&, const Fields& path) override {
    lines.push_back(place(before_, path, true) + ": removed" + value(before_, path, true));
  }

  void ReportModified(const Message&, const Message&, const Fields& path) override {
    if (path.back().field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
      return;  // told by its fields
    lines.push_back(place(before_, path, true) + ":" + value(before_, path, true) + " ->" +
                    value(after_, path, false));
  }

private:
  const Message &before_, &after_;

  static const Message& step(const Message& in, const Fields::value_type& f, bool old) {
    const auto* reflection = in.GetReflection();
    return f.field->is_repeated()
               ? reflection->GetRepeatedMessage(in, f.field, old ? f.index : f.new_index)
               : reflection->GetMessage(in, f.field);
  }

  static std::string place(const Message& root, const Fields& path, bool old) {
    const Message* in = &root;
    std::string text;
    for (const auto& f : path) {
      const bool nested = f.field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
      if (nested)
        in = &step(*in, f, old);
      const std::string name = nested && f.field->is_repeated() ? name_of(*in) : "";
      text += text.empty() ? "" : name.empty() ? "." : " ";
      text += f.field->name();
      if (!name.empty())
        text += " '" + name + "'";
    }
    return text;
  }

  static std::string value(const Message& root, const Fields& path, bool old) {
    const Message* in = &root;
    for (const auto& f : path) {
      if (f.field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        in = &step(*in, f, old);
        continue;
      }
      std::string text;
      TextFormat::PrintFieldValueToString(
          *in, f.field, f.field->is_repeated() ? (old ? f.index : f.new_index) : -1, &text);
      return " " + text;
    }
    return "";
  }
};

}  // namespace

File read_file(const std::string& path, const std::map<std::string, std::size_t>* classes) {
  const Reading reading(path);
  const pb::Gateway& g = reading.gateway;
  File file;
  file.gateway = g;
  file.members = g.members();
  file.site.mongo = g.has_mongo();
  if (classes)
    file.site.classes = *classes;
  else
    for (const pb::Team& team : g.contracts().team())
      for (const pb::ServiceClass& c : team.class_())
        file.site.classes.emplace(c.name(), file.site.classes.size());
  if (g.has_mongo() && !net::parse_address(g.mongo().listen(), 0))
    reading.wrong("mongo", {{{"listen", -1}},
                            "'" + g.mongo().listen() +
                                "' is no numeric address and port; write it as 127.0.0.1:27017"});
  const auto take = [&](const std::string& inventory, const char* front, auto* members) {
    if (inventory.empty())
      return;
    if (!members->empty())
      reading.wrong(front, {{{"inventory", -1}},
                            "stands beside members of the same front; keep one of them"});
    list_members(inventory::read(reading.beside(inventory)), *members);
  };
  take(g.postgres().inventory(), "postgres", file.members.mutable_postgres());
  take(g.mongo().inventory(), "mongo", file.members.mutable_mongo());
  file.site.postgres_listed = !file.members.postgres().empty();
  if (const auto fault = check(g.contracts(), file.site))
    reading.wrong("contracts", *fault);
  if (const auto fault = check(file.members, file.site))
    reading.wrong("members", *fault);
  if (const auto fault = check(g.limits(), file.site))
    reading.wrong("limits", *fault);
  if (const auto fault = check_together(g.contracts(), file.members, file.site))
    reading.wrong("contracts", *fault);
  if (g.has_control_service())
    if (const auto fault = check(g.control_service()))
      reading.wrong("control_service", *fault);
  if (!g.state_folder().empty() && g.state_folder()[0] != '/')
    reading.wrong("", {{{"state_folder", -1}}, "is no absolute path; start it with /"});
  return file;
}

std::string formatted(const std::string& path) {
  const Reading reading(path);  // what cannot be read is not formatted
  // Tokens as they stand: comments are kept, which a printer of messages would lose.
  std::string out, line;
  int level = 0;
  const auto end_line = [&] {
    while (!line.empty() && line.back() == ' ')
      line.pop_back();
    if (!line.empty())
      out += std::string(static_cast<std::size_t>(level) * 2, ' ') + line + '\n';
    line.clear();
  };
  const std::string& text = reading.text();
  int list = 0, newlines = 0;
  for (std::size_t i = 0; i < text.size();) {
    const char c = text[i];
    if (c == '\n') {
      // A field's value may stand on the next line; a line is ended by what starts the next field.
      const std::size_t last = line.find_last_not_of(' ');
      const bool open = last == std::string::npos || line[last] == ':' || list > 0;
      if (!open)
        end_line();
      if (++newlines == 2 && line.empty() && !out.empty())
        out += '\n';  // one empty line stays one
      ++i;
      continue;
    }
    if (c == ' ' || c == '\t' || c == '\r' || c == ';' || (c == ',' && list == 0)) {
      if ((c == ' ' || c == '\t') && !line.empty() && line.back() != ' ')
        line += ' ';
      if (c == ';' || c == ',')
        end_line();
      ++i;
      continue;
    }
    newlines = 0;
    if (c == '#') {
      const std::size_t end = std::min(text.find('\n', i), text.size());
      if (!line.empty() && line.back() != ' ')
        line += ' ';
      line += text.substr(i, end - i);
      end_line();
      i = end;
    } else if (c == '"' || c == '\'') {
      std::size_t end = i + 1;
      while (end < text.size() && text[end] != c)
        end += text[end] == '\\' ? 2 : 1;
      line += text.substr(i, end + 1 - i);
      i = end + 1;
    } else if (c == '{' || c == '<') {
      while (!line.empty() && (line.back() == ' ' || line.back() == ':'))
        line.pop_back();
      line += " {";
      end_line();
      ++level, ++i;
    } else if (c == '}' || c == '>') {
      end_line();
      level = std::max(level - 1, 0), ++i;
      line = "}";
      end_line();
    } else if (c == ':') {
      while (!line.empty() && line.back() == ' ')
        line.pop_back();
      line += ": ";
      ++i;
    } else if (c == '[' || c == ']') {
      list += c == '[' ? 1 : -1;
      line += c;
      ++i;
    } else if (c == ',') {
      while (!line.empty() && line.back() == ' ')
        line.pop_back();
      line += ", ";
      ++i;
    } else {
      std::size_t end = i;
      while (end < text.size() && !std::strchr(" \t\r\n;,#\"'{}<>:[]", text[end]))
        ++end;
      // A name after a whole value starts a field of its own.
      const std::size_t colon = line.find(": ");
      const bool whole = list == 0 && colon != std::string::npos && colon + 2 < line.size();
      if (whole && line.back() == ' ')
        end_line();
      line += text.substr(i, end - i);
      i = end;
    }
  }
  end_line();
  while (out.size() > 1 && out[out.size() - 2] == '\n')
    out.pop_back();
  return out;
}

std::vector<std::string> differences(const File& before, const File& after) {
  google::protobuf::util::MessageDifferencer differencer;
  // Inventories count by their rows, wherever they stand.
  pb::Gateway a = before.gateway, b = after.gateway;
  *a.mutable_members() = before.members, *b.mutable_members() = after.members;
  for (pb::Gateway* g : {&a, &b})
    g->mutable_postgres()->clear_inventory(), g->mutable_mongo()->clear_inventory();
  Differences found(a, b);
  const auto by_name = [&](const google::protobuf::Descriptor* type, const char* field) {
    const FieldDescriptor* f = type->FindFieldByName(field);
    differencer.TreatAsMap(f, f->message_type()->FindFieldByName("name"));
  };
  by_name(pb::Contracts::descriptor(), "team");
  by_name(pb::Team::descriptor(), "class");
  by_name(pb::Members::descriptor(), "postgres");
  by_name(pb::Members::descriptor(), "mongo");
  differencer.TreatAsSet(pb::Team::descriptor()->FindFieldByName("group"));
  differencer.set_message_field_comparison(google::protobuf::util::MessageDifferencer::EQUIVALENT);
  differencer.ReportDifferencesTo(&found);
  differencer.Compare(a, b);
  return found.lines;
}

}  // namespace gorsebeam::config
