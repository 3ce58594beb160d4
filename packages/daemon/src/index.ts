export {settingDefinitions, checkSettings, type DaemonSettings} from './daemon-settings.js';
