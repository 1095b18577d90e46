// The stand-ins' side of both protocols, written from their public descriptions.
#include "mongo/bson.h"
#include "test_harness.h"

#include <cstring>

namespace test_harness {
namespace {

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

// ---- PostgreSQL

std::string big(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16),
          static_cast<char>(value >> 8), static_cast<char>(value)};
}

std::uint32_t read_big(const std::string& in, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i)
    value = value << 8 | static_cast<unsigned char>(in[at + i]);
  return value;
}

std::string pg(char type, const std::string& body) {
  return type + big(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string pg_row(const std::string& value) {
  const std::string column = std::string("data\0", 5) + big(0) + std::string(2, '\0') + big(17) +
                             std::string(2, '\xff') + big(0xffffffff) + std::string("\0\1", 2);
  return pg('T', std::string("\0\1", 2) + column) +
         pg('D', std::string("\0\1", 2) + big(static_cast<std::uint32_t>(value.size())) + value) +
         pg('C', std::string("SELECT 1\0", 9));
}

std::string pg_error(const std::string& code) {
  const std::string z(1, '\0');
  return pg('E', "SERROR" + z + "C" + code + z + "Mscripted" + z + z) + pg('Z', "I");
}

std::string between(const std::string& text, const std::string& from, const std::string& ends) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos)
    return "";
  const std::size_t begin = at + from.size();
  return text.substr(begin, text.find_first_of(ends, begin) - begin);
}

class Postgres : public Protocol {
public:
  const char* name() const override { return "postgres"; }

  std::string client_hello() const override {
    const std::string body = big(196608) + std::string("user\0portal\0database\0crm\0\0", 26);
    return big(static_cast<std::uint32_t>(body.size() + 4)) + body;
  }

  std::string client_ask(const Ask& ask) const override {
    const std::string terms = " /* id=" + ask.id + ",c=" + ask.service_class +
                              ",d=" + std::to_string(ask.wait_ms) +
                              (ask.write ? ",k=" + ask.key : "") + ",cluster=0 */";
    if (!ask.statement.empty())
      return pg('Q', ask.statement + terms + '\0');
    return pg('Q',
              (ask.write ? "INSERT INTO facts (code, data) VALUES ('7f', '\\x9f') RETURNING data"
                         : "SELECT data FROM facts WHERE code = '7f'") +
                  terms + '\0');
  }

  std::optional<Final> client_answer(std::string& in, std::string& value) const override {
    std::optional<Final> final;
    bool greeting = false;
    for (std::size_t at = 0; in.size() >= at + 5;) {
      const std::size_t size = 1 + read_big(in, at + 1);
      if (in.size() < at + size)
        break;
      const char type = in[at];
      const std::string body = in.substr(at + 5, size - 5);
      at += size;
      if (type == 'R')
        greeting = true;
      if (type == 'C')
        final = Final::Served;
      if (type == 'D')
        value = body.substr(6);
      if (type == 'E')
        final = body.find(std::string("C53300\0", 7)) != std::string::npos ? Final::Refused
                                                                           : Final::Failed;
      const bool fatal = type == 'E' && body.compare(0, 6, "SFATAL") == 0;
      if (type != 'Z' && !fatal)
        continue;
      in.erase(0, at);
      at = 0;
      if (!greeting || final)
        return final;
      greeting = false;
    }
    return std::nullopt;
  }

  bool member_message(std::string& in, const Standing& standing, std::optional<Ask>& ask,
                      std::string& reply) const override {
    if (in.size() < 5)
      return false;
    if (in[0] == '\0') {  // a startup message has no type
      if (in.size() < read_big(in, 0))
        return false;
      in.erase(0, read_big(in, 0));
      reply = pg('R', big(0)) + pg('Z', "I");
      return true;
    }
    const std::size_t size = 1 + read_big(in, 1);
    if (in.size() < size)
      return false;
    const std::string text = in.substr(5, size - 6);
    in.erase(0, size);
    if (text == "SHOW gauges") {
      const std::string seconds =
          std::to_string(static_cast<double>(now_ms() - standing.behind_ms) / 1000);
      reply = pg_row("x0=" + seconds + ",x1=" + (standing.primary ? "1" : "0")) + pg('Z', "I");
      return true;
    }
    ask = Ask{between(text, "id=", ", "), between(text, ",c=", ", "), between(text, ",k=", ", "), 0,
              text.compare(0, 6, "INSERT") == 0};
    ask->wait_ms = std::atoi(between(text, ",d=", ", ").c_str());
    return true;
  }

  std::string member_answer(Fault fault, const Standing& standing,
                            const std::string& value) const override {
    const std::string status =
        pg('S', std::string("part\0", 5) + (standing.primary ? "master" : "replica") + '\0') +
        pg('S', std::string("caught_up_to\0", 13) + std::to_string(now_ms() - standing.behind_ms) +
                    '\0');
    switch (fault) {
    case Fault::Miss:
      return status + pg_error("25006");
    case Fault::Error:
      return pg_error("XX000");
    case Fault::Full:
      return pg_error("53300");
    case Fault::Garbage:
      return "no protocol at all, and more of it than a head";
    case Fault::Short:
      return pg_row(value).substr(0, 60);
    case Fault::Huge:
      return pg_row(value).substr(0, 31) + "D\xc0" + std::string(3, '\0') + "and so on";
    case Fault::Endless: {
      std::string all = pg_row(value);
      while (all.size() < 400'000)
        all += pg('S', std::string("part\0and so on\0", 15));
      return all;
    }
    case Fault::Copied:
      return pg_row(value) + status + pg('Z', "I") + pg_row("a copy") + pg('Z', "I");
    case Fault::BadReport:
      return pg_row(value) + status + pg('S', std::string("gauges\0x0=nonsense,x1=7q\0", 26)) +
             pg('S', std::string("caught_up_to\0"
                                 "99999999999999\0",
                                 28)) +
             pg('S', "no end") + pg('Z', "I");
    default:
      return pg_row(value) + status + pg('Z', "I");
    }
  }

  std::string member_notice() const override {
    const std::string z(1, '\0');
    return pg('N', "SNOTICE" + z + "C00000" + z + "Mscripted" + z + z);
  }
};

// ---- MongoDB

using gorsebeam::mongo::Element;
using gorsebeam::mongo::find;
using gorsebeam::mongo::integer;
using gorsebeam::mongo::Reader;
using gorsebeam::mongo::truth;
using gorsebeam::mongo::Writer;

std::string little(std::uint32_t value) {
  return gorsebeam::mongo::u32(value);
}

std::string mongo_message(const std::string& document, std::uint32_t answers) {
  return little(static_cast<std::uint32_t>(21 + document.size())) + little(77) + little(answers) +
         little(2013) + little(0) + '\0' + document;
}

class Mongo : public Protocol {
public:
  const char* name() const override { return "mongo"; }

  std::string client_hello() const override {  // as drivers open: OP_QUERY on admin.$cmd
    const std::string application =
        Writer().document("application", Writer().text("name", "portal").take()).take();
    const std::string body =
        Writer().small("isMaster", 1).truth("helloOk", true).document("client", application).take();
    const std::string rest =
        little(4) + std::string("admin.$cmd\0", 11) + little(0) + little(0xffffffff) + body;
    return little(static_cast<std::uint32_t>(16 + rest.size())) + little(1) + little(0) +
           little(2004) + rest;
  }

  std::string client_ask(const Ask& ask) const override {
    Writer terms;
    terms.text("id", ask.id).text("c", ask.service_class).text("cluster", "0");
    if (ask.write)
      terms.text("k", ask.key);
    Writer command;
    const std::string document = Writer().text("code", "7f").take();
    if (ask.write)
      command.text("insert", "facts")
          .document("documents", Writer().document("0", document).take(), '\x04');
    else
      command.text("find", "facts").document("filter", document);
    command.small("maxTimeMS", ask.wait_ms).text("$db", "crm").document("comment", terms.take());
    command.document("$readPreference", Writer().text("mode", "primary").take());
    command.document("lsid", Writer().text("id", "session-1").take());
    return mongo_message(command.take(), 0);
  }

  std::optional<Final> client_answer(std::string& in, std::string& value) const override {
    while (in.size() >= 16 && in.size() >= gorsebeam::mongo::read_u32(in.data())) {
      const std::string message = in.substr(0, gorsebeam::mongo::read_u32(in.data()));
      in.erase(0, message.size());
      if (gorsebeam::mongo::read_u32(message.data() + 12) == 1)
        continue;  // OP_REPLY, to the greeting
      const std::string document = message.substr(21);
      CHECK(gorsebeam::mongo::well_formed(document));
      if (const auto by = find(document, "value"))
        value = by->value;
      if (*truth(*find(document, "ok")))
        return Final::Served;
      return *integer(*find(document, "code")) == 462 ? Final::Refused : Final::Failed;
    }
    return std::nullopt;
  }

  bool member_message(std::string& in, const Standing& standing, std::optional<Ask>& ask,
                      std::string& reply) const override {
    if (in.size() < 16 || in.size() < gorsebeam::mongo::read_u32(in.data()))
      return false;
    const std::string message = in.substr(0, gorsebeam::mongo::read_u32(in.data()));
    in.erase(0, message.size());
    const std::string document = message.substr(21);
    CHECK(gorsebeam::mongo::well_formed(document));
    last_ = gorsebeam::mongo::read_u32(message.data() + 4);
    Element first;
    Reader(document).next(first);
    if (first.name == "hello") {
      const std::string last =
          Writer().large("lastWriteDate", now_ms() - standing.behind_ms, '\x09').take();
      reply = mongo_message(Writer()
                                .truth("isWritablePrimary", standing.primary)
                                .truth("secondary", !standing.primary)
                                .document("lastWrite", last)
                                .real("ok", 1)
                                .take(),
                            last_);
      return true;
    }
    const std::string_view terms = find(document, "comment")->value;
    ask = Ask{std::string(find(terms, "id")->value), std::string(find(terms, "c")->value), "",
              static_cast<int>(*integer(*find(document, "maxTimeMS"))), first.name == "insert"};
    if (const auto key = find(terms, "k"))
      ask->key = key->value;
    // A replica answers only reads that allow it.
    if (!ask->write)
      CHECK(find(find(document, "$readPreference")->value, "mode")->value == "primaryPreferred");
    return true;
  }

  std::string member_answer(Fault fault, const Standing& standing,
                            const std::string& value) const override {
    const auto error = [this](int code) {
      return mongo_message(
          Writer().real("ok", 0).text("errmsg", "scripted").small("code", code).take(), last_);
    };
    switch (fault) {
    case Fault::Miss:
      return error(10107);
    case Fault::Error:
      return error(8);
    case Fault::Full:
      return error(462);
    case Fault::Short:
      return little(90) + little(1) + little(last_) + little(2013) + little(0);
    case Fault::Huge:
      return little(0xc0000000) + little(1) + little(last_) + little(2013) + "and so on";
    case Fault::Endless: {
      const std::string text(400'000, 'x');
      return mongo_message(Writer().real("ok", 1).text("value", text).take(), last_);
    }
    case Fault::Garbage:
      return little(24) + little(1) + little(last_) + little(2013) + "nonsense";
    default:
      break;
    }
    const std::int64_t seconds = (now_ms() - standing.behind_ms) / 1000;
    const std::string good =
        mongo_message(Writer().real("ok", 1).text("value", value).take(), last_);
    if (fault == Fault::Copied)
      return good + mongo_message(Writer().real("ok", 1).text("value", "a copy").take(), last_);
    if (fault == Fault::BadReport)
      return mongo_message(
          Writer().real("ok", 1).text("value", value).text("operationTime", "nonsense").take(),
          last_);
    return mongo_message(Writer()
                             .real("ok", 1)
                             .text("value", value)
                             .large("operationTime", seconds << 32 | 1, '\x11')
                             .take(),
                         last_);
  }

  std::string member_notice() const override {
    return mongo_message(Writer().real("ok", 1).text("value", "unasked").take(), last_);
  }

private:
  mutable std::uint32_t last_ = 0;  // the number of the message that is answered next
};

}  // namespace

const Protocol& postgres() {
  static const Postgres protocol;
  return protocol;
}

const Protocol& mongo() {
  static const Mongo protocol;
  return protocol;
}

}  // namespace test_harness
