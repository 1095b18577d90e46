#include "begin_result.h"

namespace gorsebeam::proxy {

const char* describe(BeginResult result) {
  switch (result) {
  case BeginResult::Begun:
    return "";
  case BeginResult::InvalidId:
    return "the id of the request is empty or too long";
  case BeginResult::IdInUse:
    return "a request with this id is open";
  case BeginResult::IdUsed:
    return "a request with this id was sent before; give each request a new id";
  case BeginResult::KeyExpired:
    return "a request with this key was sent before, and its repeats are not discarded any more";
  }
  return "";
}

const char* name_of(BeginResult result) {
  switch (result) {
  case BeginResult::Begun:
    return "begun";
  case BeginResult::InvalidId:
    return "invalid_id";
  case BeginResult::IdInUse:
    return "id_in_use";
  case BeginResult::IdUsed:
    return "id_used";
  case BeginResult::KeyExpired:
    return "key_expired";
  }
  return "unknown";
}

}  // namespace gorsebeam::proxy
