// Cuts a stream of bytes into JSON objects, wherever its lines and its reads end; pure.
//
// Between two objects stand only spaces and line ends. Within one stands no blank line: discovery's
// beat there means that the rest of a list was lost on its way. Holds at most kMost bytes; each is
// looked at once.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsebeam::discovery {

class JsonObjectSplitter {
public:
  static constexpr std::size_t kMost = 8 << 20;  // bytes of one object, indented or not

  enum class Step { More, Object, Broken };

  void add(std::string_view bytes) { text_.append(bytes); }

  // Object: it stands in `object` until the next call, and may still be no JSON within. Broken:
  // nothing more is read.
  Step next(std::string_view& object);
  void clear();

private:
  std::string text_;
  std::size_t begin_ = 0, at_ = 0;  // of the object, and how far it was looked at
  std::size_t depth_ = 0;           // of braces and brackets; 0: between two objects
  bool quoted_ = false, escaped_ = false, blank_ = false;
};

}  // namespace gorsebeam::discovery
