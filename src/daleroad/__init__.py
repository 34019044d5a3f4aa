"""daleroad: serving of generations of unknown length on crowded engines."""

from daleroad.admission import Admission as Admission
from daleroad.caller import Caller as Caller
from daleroad.caller import Token as Token
from daleroad.caller import Whole as Whole
from daleroad.consensus import Replica as Replica
from daleroad.control import Control as Control
from daleroad.entry import Entry as Entry
from daleroad.errors import DaleroadError as DaleroadError
from daleroad.errors import Failure as Failure
from daleroad.errors import FailureKind as FailureKind
from daleroad.errors import Ran as Ran
from daleroad.errors import SettingsError as SettingsError
from daleroad.errors import StorageError as StorageError
from daleroad.operating import OperatorClient as OperatorClient
from daleroad.settings import Settings as Settings
from daleroad.settings import load_settings as load_settings
