// Line numbers of the values in a JSON text.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Number, from 1, of the line that contains the byte at an offset. */
std::size_t lineAtOffset(std::string_view text, std::size_t offset);

/** @brief Line of each value, by JSON pointer; for a field, the line of its name. @param text well-formed JSON. */
std::map<std::string, std::size_t> jsonValueLines(std::string_view text);

} // namespace lycheeledge
