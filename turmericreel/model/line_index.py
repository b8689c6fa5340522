"""Maps each key and value of a TOML document to its line number.

The TOML parser returns values without positions.  This scanner reads a document that
the parser has accepted, so it can assume that the document is well formed.
"""

import rtoml

KeyPath = tuple[str | int, ...]

WHITESPACE = " \t\r\n"
QUOTES = "\"'"


class LineIndex:
    """Line numbers of a well-formed TOML document by key path.

    Parameters
    ----------
    source : str
        A TOML document that the parser has accepted.

    Attributes
    ----------
    lines : dict of tuple to int
        Line of each table, key and array element, counted from 1.
    """

    def __init__(self, *, source: str):
        self.source = source
        self.position = 0
        self.line = 1
        self.lines: dict[KeyPath, int] = {}
        self.n_elements: dict[KeyPath, int] = {}
        self._scan_document()

    def line_of(self, path: KeyPath) -> int:
        """Return the line of a path, or of its nearest enclosing table."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path[:-1]
        return 1

    def _scan_document(self) -> None:
        table: KeyPath = ()
        self._skip_blank()
        while self.position < len(self.source):
            if self.source[self.position] == "[":
                table = self._scan_header()
            else:
                self._scan_pair(table)
            self._skip_blank()

    def _scan_header(self) -> KeyPath:
        is_array = self.source.startswith("[[", self.position)
        self._advance(2 if is_array else 1)
        line = self.line
        path: KeyPath = ()
        for part in self._scan_key():
            path = self._last_element_path((*path, part))
        if is_array:
            path = self._append_element(path, line)
        self._record(path, line)
        self._advance(2 if is_array else 1)
        return path

    def _last_element_path(self, path: KeyPath) -> KeyPath:
        # A subtable header refers to the last element of an array of tables.
        if path in self.n_elements:
            return (*path, self.n_elements[path] - 1)
        return path

    def _append_element(self, path: KeyPath, line: int) -> KeyPath:
        if path[-1:] and isinstance(path[-1], int):
            path = path[:-1]
        n_elements = self.n_elements.get(path, 0)
        self.n_elements[path] = n_elements + 1
        self._record(path, line)
        return (*path, n_elements)

    def _record(self, path: KeyPath, line: int) -> None:
        for length in range(1, len(path)):
            self.lines.setdefault(path[:length], line)
        self.lines[path] = line

    def _scan_pair(self, table: KeyPath) -> None:
        line = self.line
        path = table + tuple(self._scan_key())
        self._record(path, line)
        self._skip_blank()
        self._advance(1)
        self._skip_blank()
        self._scan_value(path)

    def _scan_key(self) -> list[str]:
        parts = [self._scan_key_part()]
        self._skip_blank()
        while self._peek_character() == ".":
            self._advance(1)
            parts.append(self._scan_key_part())
            self._skip_blank()
        return parts

    def _scan_key_part(self) -> str:
        self._skip_blank()
        if self._peek_character() in QUOTES:
            return _unquote(self._scan_string())
        start = self.position
        while self._peek_character() not in " \t.=]":
            self._advance(1)
        return self.source[start : self.position]

    def _scan_value(self, path: KeyPath) -> None:
        match self._peek_character():
            case "[":
                self._scan_array(path)
            case "{":
                self._scan_inline_table(path)
            case '"' | "'":
                self._scan_string()
            case _:
                self._scan_bare_value()

    def _scan_array(self, path: KeyPath) -> None:
        self._advance(1)
        self._skip_blank()
        number = 0
        while self._peek_character() != "]":
            self.lines[(*path, number)] = self.line
            self._scan_value((*path, number))
            number += 1
            self._skip_separator()
        self._advance(1)

    def _scan_inline_table(self, path: KeyPath) -> None:
        self._advance(1)
        self._skip_blank()
        while self._peek_character() != "}":
            self._scan_pair(path)
            self._skip_separator()
        self._advance(1)

    def _skip_separator(self) -> None:
        self._skip_blank()
        if self._peek_character() == ",":
            self._advance(1)
        self._skip_blank()

    def _scan_string(self) -> str:
        start = self.position
        quote = self.source[start]
        if self.source.startswith(quote * 3, start):
            self._advance(3)
            self._skip_to_end(quote * 3, escapes=quote == '"')
            # Up to two quotes that are content may precede the closing delimiter.
            while self._peek_character() == quote:
                self._advance(1)
        else:
            self._advance(1)
            self._skip_to_end(quote, escapes=quote == '"')
        return self.source[start : self.position]

    def _skip_to_end(self, closing: str, *, escapes: bool) -> None:
        while not self.source.startswith(closing, self.position):
            is_escape = escapes and self._peek_character() == "\\"
            self._advance(2 if is_escape else 1)
        self._advance(len(closing))

    def _scan_bare_value(self) -> None:
        while self._peek_character() not in ",]}#\n":
            self._advance(1)

    def _skip_blank(self) -> None:
        while self.position < len(self.source):
            if self.source[self.position] == "#":
                self._skip_comment()
            elif self.source[self.position] in WHITESPACE:
                self._advance(1)
            else:
                return

    def _skip_comment(self) -> None:
        end = self.source.find("\n", self.position)
        self.position = len(self.source) if end < 0 else end

    def _peek_character(self) -> str:
        # The end of the document is reported as a line end, so that scans stop there.
        if self.position >= len(self.source):
            return "\n"
        return self.source[self.position]

    def _advance(self, n_characters: int) -> None:
        end = min(self.position + n_characters, len(self.source))
        self.line += self.source.count("\n", self.position, end)
        self.position = end


def _unquote(quoted: str) -> str:
    if quoted.startswith("'"):
        return quoted[1:-1]
    return rtoml.loads(f"key = {quoted}")["key"]
