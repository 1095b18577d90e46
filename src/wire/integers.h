/// Reads and encodes the fixed-size integers of wire formats, independently of the host's byte
/// order. Pure.
#pragma once

#include <cstdint>
#include <string>

namespace gorsebeam::wire {

/// The read functions require as many readable bytes at `bytes` as the integer has (4 or 8);
/// `bytes` need not be aligned.
std::uint32_t read_u32_big_endian(const char* bytes);
std::uint32_t read_u32_little_endian(const char* bytes);
std::uint64_t read_u64_little_endian(const char* bytes);

std::string encode_u32_big_endian(std::uint32_t value);
std::string encode_u32_little_endian(std::uint32_t value);
std::string encode_u64_little_endian(std::uint64_t value);

}  // namespace gorsebeam::wire
