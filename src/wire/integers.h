/// Fixed-size integers of wire formats, independent of the host's byte order. Pure.
#pragma once

#include <cstdint>
#include <string>

namespace gorsebeam::wire {

/// The functions that read require 4 or 8 readable bytes at `bytes`, which need not be aligned.
std::uint32_t read_u32_big_endian(const char* bytes);
std::uint32_t read_u32_little_endian(const char* bytes);
std::uint64_t read_u64_little_endian(const char* bytes);

std::string encode_u32_big_endian(std::uint32_t value);
std::string encode_u32_little_endian(std::uint32_t value);
std::string encode_u64_little_endian(std::uint64_t value);

}  // namespace gorsebeam::wire
