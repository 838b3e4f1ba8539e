// Splits JSON texts into parts without building values, so that a part that
// can't be read takes no other away, and parses them within bounds.
#ifndef SAMPHIREHILL_CORE_JSONPARTS_H
#define SAMPHIREHILL_CORE_JSONPARTS_H

#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace samphirehill {

// A part of a text, as it stands there, beside the same part of its copy.
struct JsonPart {
  std::string_view Text;
  std::string_view Masked; // ends before the copy's padding
  std::size_t Readable;    // bytes of the copy from where Masked begins
};

// A text with a copy of the same structure in which no byte makes the whole
// text unreadable: the library refuses all of a text for one byte that is no
// UTF-8, or for a control character in a string. The text must outlive it, and
// it the parts.
class JsonText {
public:
  explicit JsonText(std::string_view Text);
  JsonPart whole() const;

private:
  std::string_view Text;
  std::vector<char> Masked; // with padding
};

using FieldHandler =
    std::function<void(std::string_view Name, const JsonPart &Value)>;
using ElementHandler = std::function<void(const JsonPart &Element)>;

// Calls Handle with each field of an object. The values need not be valid JSON
// as long as their quotes and brackets match. Returns false, without a call, if
// Object isn't an object with fields that can be told apart.
bool forEachField(const JsonPart &Object, const FieldHandler &Handle);

// Likewise for the elements of an array.
bool forEachElement(const JsonPart &Array, const ElementHandler &Handle);

// Parses Text. Returns a discarded value if it isn't valid JSON, holds a number
// beyond a double or is nested more than 64 levels deep: copies and output of
// deeper values recurse until the stack ends.
nlohmann::json parseJson(std::string_view Text);

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_JSONPARTS_H
