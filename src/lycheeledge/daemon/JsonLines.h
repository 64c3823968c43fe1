// Line numbers of the values of a JSON text.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Line, counted from 1, that contains a byte of a text. */
std::size_t lineOfOffset(std::string_view text, std::size_t offset);

/** @brief Line of each value by its JSON pointer; for a field, the line of its name. @param text well-formed. */
std::map<std::string, std::size_t> jsonLines(std::string_view text);

} // namespace lycheeledge
