"""Reads YAML safely and remembers the line of each value."""

import dataclasses
from typing import Any

import yaml

MAX_NOTE_BYTES = 262_144
MAX_DEPTH = 20
MAPPING_TAG = yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG
SEQUENCE_TAG = yaml.resolver.BaseResolver.DEFAULT_SEQUENCE_TAG

NOT_UTF8 = 'The file is not UTF-8 text.'
TOO_LARGE = f'The file is larger than {MAX_NOTE_BYTES} bytes.'
TOO_DEEP = f'The values are nested more than {MAX_DEPTH} deep.'
NOT_YAML = 'The file is not valid YAML: {problem}.'
DUPLICATE = 'The key {key!r} stands twice in this mapping.'
ALIAS = 'Anchors and aliases are not supported.'
NOT_TEXT_KEY = 'The key of a mapping has to be text.'
BAD_TAG = 'Tags on mappings and sequences are not supported.'
BAD_SCALAR = 'The value can not be read.'

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteProblem:
    """One mistake in a note file.

    :param path: where it is, such as ``changes[2].base``.
    :param line: line in the file, from 1; 0 when it is not known.
    :param hint: what to do about it.
    """

    path: str
    reason: str
    line: int = 0
    hint: str = ''


@dataclasses.dataclass(slots=True)
class Source:
    """The values of a YAML file, and where they stand."""

    content: Any = None
    mistakes: list[NoteProblem] = dataclasses.field(default_factory=list)
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)

    def line(self, path: Path) -> int:
        """Return the line of a value, or of what is around it."""
        for end in range(len(path), -1, -1):
            line = self.lines.get(path[:end])
            if line is not None:
                return line
        return 0

    def mistake(self, path: Path, reason: str, hint: str = '') -> None:
        """Add a mistake at a path."""
        place = NoteProblem(format_path(path), reason, self.line(path), hint)
        self.mistakes.append(place)


def format_path(path: Path) -> str:
    """Return a path as it is shown to the operator."""
    text = ''
    for step in path:
        if isinstance(step, int):
            text = f'{text}[{step}]'
        else:
            text = f'{text}.{step}' if text else step
    return text


def read_yaml(raw: bytes) -> Source:
    """Read one YAML document; all mistakes found are in the result."""
    source = Source()
    if len(raw) > MAX_NOTE_BYTES:
        source.mistake((), TOO_LARGE)
        return source
    try:
        root = yaml.compose(raw.decode('utf-8-sig'), Loader=yaml.SafeLoader)
    except UnicodeDecodeError:
        source.mistake((), NOT_UTF8)
    except RecursionError:
        source.mistake((), TOO_DEEP)
    except yaml.YAMLError as error:
        source.mistakes.append(_syntax_mistake(error))
    else:
        source.content = _Reader(source).read(root, ())
    return source


def _syntax_mistake(error: yaml.YAMLError) -> NoteProblem:
    # Only the problem is shown: the snippet could contain a key.
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or type(error).__name__
    line = mark.line + 1 if mark else 0
    return NoteProblem('', NOT_YAML.format(problem=problem), line)


class _Reader:
    """Turns nodes into values and records their lines."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._scalars = yaml.constructor.SafeConstructor()
        self._visited: set[int] = set()

    def read(self, node: yaml.Node | None, path: Path) -> Any:
        if node is None:
            return None
        self._source.lines.setdefault(path, node.start_mark.line + 1)
        if id(node) in self._visited:
            self._source.mistake(path, ALIAS)
            return None
        self._visited.add(id(node))
        if len(path) > MAX_DEPTH:
            self._source.mistake((), TOO_DEEP)
            return None
        match node:
            case yaml.MappingNode(tag=tag) if tag == MAPPING_TAG:
                return self._read_mapping(node, path)
            case yaml.SequenceNode(tag=tag) if tag == SEQUENCE_TAG:
                return [
                    self.read(child, (*path, place))
                    for place, child in enumerate(node.value)
                ]
        return self._read_scalar(node, path)

    def _read_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[str, Any]:
        content: dict[str, Any] = {}
        for key_node, child in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._source.mistake(path, NOT_TEXT_KEY)
                continue
            if key in content:
                self._source.lines[(*path, key)] = key_node.start_mark.line + 1
                self._source.mistake((*path, key), DUPLICATE.format(key=key))
            content[key] = self.read(child, (*path, key))
        return content

    def _read_scalar(self, node: yaml.Node, path: Path) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            self._source.mistake(path, BAD_TAG)
            return None
        try:
            return self._scalars.construct_object(node)
        except (yaml.YAMLError, ValueError, ArithmeticError):
            self._source.mistake(path, BAD_SCALAR)
            return None
