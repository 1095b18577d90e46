#include "codec.h"

namespace gorsebeam::mongo {

Framing read_message(std::string_view in, std::size_t most, Message& message) {
  if (in.size() < kHeaderSize)
    return Framing::More;
  message.size = read_u32(in.data());
  message.id = read_u32(in.data() + 4);
  message.answers = read_u32(in.data() + 8);
  message.operation = read_u32(in.data() + 12);
  if (message.size < kHeaderSize || message.size > most)
    return Framing::Malformed;
  if (in.size() < message.size)
    return Framing::More;
  message.payload = in.substr(kHeaderSize, message.size - kHeaderSize);
  return Framing::Whole;
}

bool read_op_msg(std::string_view payload, OpMsg& msg) {
  msg = OpMsg{};
  if (payload.size() < 4)
    return false;
  msg.flags = read_u32(payload.data());
  if (msg.flags & 0xffffu & ~(kChecksum | kMoreToCome))
    return false;  // required bits that we do not know
  payload.remove_prefix(4);
  if (msg.flags & kChecksum) {
    if (payload.size() < 4)
      return false;
    payload.remove_suffix(4);
  }
  msg.sections = payload;
  std::size_t at = 0;
  while (at < payload.size()) {
    const char kind = payload[at];
    const std::string_view rest = payload.substr(at + 1);
    if (rest.size() < 5)
      return false;
    const std::size_t size = read_u32(rest.data());
    if (size < 5 || size > rest.size() || (kind != 0 && kind != 1))
      return false;
    if (kind == 0) {
      if (msg.body.data() != nullptr)
        return false;
      msg.body = rest.substr(0, size);
      msg.before = payload.substr(0, at);
      msg.after = payload.substr(at + 1 + size);
    } else {  // a named run of documents
      std::string_view run = rest.substr(4, size - 4);
      const std::size_t name = run.find('\0');
      if (name == std::string_view::npos)
        return false;
      for (run.remove_prefix(name + 1); !run.empty();) {
        const std::size_t length = run.size() < 5 ? 0 : read_u32(run.data());
        if (length < 5 || length > run.size() || !well_formed(run.substr(0, length)))
          return false;
        run.remove_prefix(length);
      }
    }
    at += 1 + size;
  }
  return msg.body.data() != nullptr && well_formed(msg.body);
}

bool read_op_query(std::string_view payload, std::string_view& body) {
  if (payload.size() < 4)
    return false;
  payload.remove_prefix(4);
  const std::size_t name = payload.find('\0');
  if (name == std::string_view::npos || payload.size() < name + 1 + 8 + 5)
    return false;
  payload.remove_prefix(name + 1 + 8);
  const std::size_t size = read_u32(payload.data());
  if (size < 5 || size > payload.size())
    return false;
  body = payload.substr(0, size);
  return well_formed(body);
}

std::string header(std::size_t payload_size, std::uint32_t id, std::uint32_t answers,
                   std::uint32_t operation) {
  return u32(static_cast<std::uint32_t>(kHeaderSize + payload_size)) + u32(id) + u32(answers) +
         u32(operation);
}

std::string op_msg(const std::string& document, std::uint32_t id, std::uint32_t answers) {
  return header(5 + document.size(), id, answers, kOpMsg) + u32(0) + '\0' + document;
}

std::string op_reply(const std::string& document, std::uint32_t id, std::uint32_t answers) {
  // Flags, a cursor (64 bits), where it starts, and how many documents follow.
  return header(20 + document.size(), id, answers, kOpReply) + u32(8) + u32(0) + u32(0) + u32(0) +
         u32(1) + document;
}

}  // namespace gorsebeam::mongo
